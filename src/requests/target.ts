/** What a caller asks for, read from the head of its request. */
import { type IncomingMessage } from 'node:http';
import { notRun } from '../contracts.js';
import { type Target } from './router.js';

/** A target together with the form of it that goes to the next hop. */
export interface Asked extends Target {
  /** Path and query. */
  readonly url: string;
}

/** Dot segments, also encoded, and what servers read differently from each other. */
const AMBIGUOUS = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)|[\\#]|%00|%5c/i;
const ABSOLUTE = /^http:\/\/([^/?#]+)(.*)$/i;

/**
 * Reads the target. Throws `not-run` for requests that two servers could read differently: with
 * dot segments a request would match one route here and be served as another by the upstream;
 * with two hosts it would be routed by one of them and served under the other.
 */
export function askedBy(request: IncomingMessage): Asked {
  const { method = 'GET', headers } = request;
  if (headers.upgrade !== undefined) throw notRun('bad-request', 'upgrades are not offered');
  const { authority, url } = originForm(request);
  const mark = url.indexOf('?');
  const path = mark < 0 ? url : url.slice(0, mark);
  if (AMBIGUOUS.test(path)) throw notRun('bad-request', 'the path is ambiguous');
  const host = authority.replace(/:\d+$/, '').toLowerCase();
  return { method, path, url, headers, host };
}

function originForm(request: IncomingMessage): { authority: string; url: string } {
  const { url = '/' } = request;
  const authority = hostOf(request);
  if (url.startsWith('/')) return { authority, url };
  const [, named, rest] = ABSOLUTE.exec(url) ?? [];
  if (named === undefined) throw notRun('bad-request', 'the target is not a path');
  // The upstream gets the Host header, so it has to say the same.
  if (named.toLowerCase() !== authority.toLowerCase()) {
    throw notRun('bad-request', 'the target names another host than the Host header');
  }
  return { authority, url: rest?.startsWith('/') ? rest : `/${rest ?? ''}` };
}

function hostOf({ headers, rawHeaders, httpVersionMinor }: IncomingMessage): string {
  let hosts = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.length === 4 && name.toLowerCase() === 'host') hosts += 1;
  }
  const isMissing = hosts === 0 && httpVersionMinor > 0;
  if (hosts > 1 || isMissing) throw notRun('bad-request', 'one Host header is needed');
  return headers.host ?? '';
}
