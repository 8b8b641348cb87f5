/** What tells one request from another: method, path, and the beginning and length of the body. */
import { createHash } from 'node:crypto';
import { type IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { OutcomeError } from '../contracts.js';

/** How much of a body is digested, and held in memory while it is, in bytes. */
export const MAX_PREFIX_BYTES = 64 * 1024;

/** The beginning of a request's body, and the body as a whole, still to be read. */
export interface Opening {
  readonly prefix: readonly Buffer[];
  /** Bytes of the whole body, as far as they are known by now. */
  readonly length: number | undefined;
  readonly body: Readable;
}

/** Reads the beginning of the body; all of it when it is short. Throws `not-run` if it is cut. */
export async function openBody(request: IncomingMessage): Promise<Opening> {
  const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const prefix: Buffer[] = [];
  let length = 0;
  let isDone = false;
  try {
    while (length < MAX_PREFIX_BYTES) {
      const next = await iterator.next();
      isDone = next.done === true;
      if (isDone) break;
      prefix.push(next.value);
      length += next.value.length;
    }
  } catch (cause) {
    const props = { verdict: 'not-run', reason: 'bad-request' } as const;
    throw new OutcomeError('the body of the request was cut', props, { cause });
  }
  const rest = isDone ? undefined : iterator;
  return {
    prefix,
    length: isDone ? length : declaredLength(request),
    body: Readable.from(joined(prefix, rest), { objectMode: false }),
  };
}

/** Digest of a request. Bodies that differ after the prefix only differ in their length. */
export function fingerprintOf(
  { method, url }: Pick<IncomingMessage, 'method' | 'url'>,
  { prefix, length }: Pick<Opening, 'prefix' | 'length'>,
): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([method, url, length]));
  for (const chunk of prefix) hash.update(chunk);
  return hash.digest('hex');
}

function declaredLength({ headers }: IncomingMessage): number | undefined {
  const declared = headers['content-length'];
  return declared === undefined ? undefined : Number(declared);
}

async function* joined(
  prefix: readonly Buffer[],
  rest: AsyncIterator<Buffer> | undefined,
): AsyncGenerator<Buffer> {
  yield* prefix;
  if (rest) yield* { [Symbol.asyncIterator]: () => rest };
}
