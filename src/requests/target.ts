/** Parses the target of a request from its head. */
import { type IncomingMessage } from 'node:http';
import { notRun } from '../contracts.js';
import { type Target } from './router.js';

/** A target with the form in which it is sent to the next hop. */
export interface RequestTarget extends Target {
  /** Path and query. */
  readonly url: string;
}

/** Dot segments, also percent-encoded, and characters that servers interpret differently. */
const AMBIGUOUS = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)|[\\#]|%00|%5c/i;
const ABSOLUTE = /^http:\/\/([^/?#]+)(.*)$/i;

/**
 * Parses the target. Throws `not-run` for requests that two servers could interpret differently: with
 * dot segments, a request would match one route here and be served as another by the upstream. The
 * head has been checked before, see `http_syntax.ts`.
 */
export function parseTarget(request: IncomingMessage): RequestTarget {
  const { method = 'GET', headers } = request;
  if (headers.upgrade !== undefined) throw notRun('bad-request', 'upgrades are not supported');
  const { authority, url } = originForm(request);
  const mark = url.indexOf('?');
  const path = mark < 0 ? url : url.slice(0, mark);
  if (AMBIGUOUS.test(path))
    throw notRun('bad-request', 'path contains dot segments, a backslash, # or NUL');
  const host = authority.replace(/:\d+$/, '').toLowerCase();
  return { method, path, url, headers, host };
}

function originForm(request: IncomingMessage): { authority: string; url: string } {
  const { url = '/', headers } = request;
  const authority = headers.host ?? '';
  if (url.startsWith('/')) return { authority, url };
  const [, targetAuthority, rest] = ABSOLUTE.exec(url) ?? [];
  if (targetAuthority === undefined)
    throw notRun('bad-request', 'request target is neither a path nor an http:// URL');
  // The upstream receives the Host header, so both must name the same host.
  if (targetAuthority.toLowerCase() !== authority.toLowerCase()) {
    throw notRun(
      'bad-request',
      `host of the request target, ${targetAuthority}, differs from the Host header, ${authority}`,
    );
  }
  return { authority, url: rest?.startsWith('/') ? rest : `/${rest ?? ''}` };
}
