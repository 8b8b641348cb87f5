/** The command `digest`: the digest of a key, for a release note. */
import { keyDigest } from '../teams/key_digest.js';
import { UsageError } from './exit.js';

const KEY = /^[\x21-\x7e]{1,256}$/;
/** More than the longest key and its line end, so that an endless input is not read. */
const MAX_INPUT_BYTES = 1_024;

const ARGUMENT_REFUSED =
  'digest takes no arguments or options: it reads one key from standard input. What is given as an argument ' +
  'can be read by other users of this machine; if that was a key, replace it.';
const INVALID_KEY =
  'standard input does not hold one key: 1 to 256 printable ASCII characters without spaces, on ' +
  'one line';

/** Throws if the command line has more than the name of the command; does not repeat it. */
export function refuseArguments(argv: readonly string[]): void {
  if (argv.length > 1) throw new UsageError(ARGUMENT_REFUSED);
}

/** Reads one key, with or without a line end, and resolves to its digest. */
export async function digestOfInput(input: AsyncIterable<Buffer | string>): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of input) {
    chunks.push(Buffer.from(chunk));
    size += chunk.length;
    if (size > MAX_INPUT_BYTES) break;
  }
  // Latin-1 keeps each byte as one character, so that bytes over 127 are refused.
  const key = Buffer.concat(chunks)
    .toString('latin1')
    .replace(/\r?\n$/, '');
  if (!KEY.test(key)) throw new Error(INVALID_KEY);
  return keyDigest(key);
}
