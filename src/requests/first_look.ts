/** Asks the upstream instance beside a process that has just started who it is. */
import { type IncomingMessage, request } from 'node:http';
import { type Dialect, type Identity } from './dialect.js';

const TIMEOUT_MS = 500;

export interface Place {
  readonly host: string;
  readonly port: number;
  /** Path of its health check. */
  readonly path: string;
}

/** What the look has shown; neither of both if nobody answers there. */
export interface Look {
  /** Set if it takes work. */
  readonly identity?: Identity | undefined;
  /** Whether it says that it takes none. */
  readonly isDeclined: boolean;
}

export async function firstLook(place: Place, dialect: Dialect): Promise<Look> {
  try {
    const answer = await ask(place);
    answer.resume();
    return { identity: dialect.identityOf(answer), isDeclined: dialect.declines(answer) };
  } catch {
    // Nobody there yet: its first announcement will tell.
    return { isDeclined: false };
  }
}

function ask({ host, port, path }: Place): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path, agent: false, timeout: TIMEOUT_MS }, resolve);
    outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')));
    outgoing.on('error', reject);
    outgoing.end();
  });
}
