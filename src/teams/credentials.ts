/** Reads the key of a team from the credentials that a caller sends. */
import { type IncomingMessage } from 'node:http';

/** The scheme is compared without regard to case, the key exactly. */
const TOKEN = /^token +([\x21-\x7e]{1,256})$/i;

/** The key in `Authorization: Token KEY`; undefined if there is none, or no valid one. */
export function tokenOf({ headers }: IncomingMessage): string | undefined {
  return TOKEN.exec(headers.authorization ?? '')?.[1];
}
