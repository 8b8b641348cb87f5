/** Reads the key of a team from the credentials that a caller sends. */
import { type IncomingMessage } from 'node:http';
import { utf8Of } from '../requests/headers.js';

const AUTHORIZATION = 'authorization';
/**
 * The scheme is compared without regard to case, the key exactly. Its length is bounded by that of
 * the head only: a key that the operator has given out must not fail for a limit of this program.
 */
const TOKEN = /^token +([^ \t].*)$/i;

/** The key in `Authorization: Token KEY`, in UTF-8; undefined if there is none. */
export function tokenOf({ headers, rawHeaders }: IncomingMessage): string | undefined {
  const { authorization } = headers;
  // Node keeps only the first of several; another server might read another one.
  if (authorization === undefined || hasSeveral(rawHeaders)) return undefined;
  const key = TOKEN.exec(authorization)?.[1];
  return key === undefined ? undefined : utf8Of(key);
}

function hasSeveral(rawHeaders: readonly string[]): boolean {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.length === AUTHORIZATION.length && name.toLowerCase() === AUTHORIZATION) count += 1;
  }
  return count > 1;
}
