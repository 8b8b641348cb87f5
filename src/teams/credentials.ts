/** Reads the key of a team from the credentials that a caller sends. */
import { type IncomingMessage } from 'node:http';

const AUTHORIZATION = 'authorization';
/** The scheme is compared without regard to case, the key exactly. */
const TOKEN = /^token +([\x21-\x7e]{1,256})$/i;

/** The key in `Authorization: Token KEY`; undefined if there is none, or no valid one. */
export function tokenOf({ headers, rawHeaders }: IncomingMessage): string | undefined {
  const { authorization } = headers;
  // Node keeps only the first of several; another server might read another one.
  if (authorization === undefined || hasSeveral(rawHeaders)) return undefined;
  return TOKEN.exec(authorization)?.[1];
}

function hasSeveral(rawHeaders: readonly string[]): boolean {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.length === AUTHORIZATION.length && name.toLowerCase() === AUTHORIZATION) count += 1;
  }
  return count > 1;
}
