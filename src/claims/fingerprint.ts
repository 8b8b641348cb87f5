/** Fingerprint of a request: method, path, and the prefix and length of the body. */
import { createHash } from 'node:crypto';
import { type IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { OutcomeError } from '../contracts.js';

/** Largest prefix of a body that is digested, and buffered for it, in bytes. */
export const MAX_PREFIX_BYTES = 64 * 1024;

/** The prefix of a request's body, and a stream of the whole body. */
export interface PeekResult {
  readonly prefix: readonly Buffer[];
  /** Length of the whole body in bytes; undefined if it is neither declared nor read to its end. */
  readonly length: number | undefined;
  readonly body: Readable;
}

/** Reads the prefix of the body, all of a short one. Throws `not-run` if the body is truncated. */
export async function peekBody(request: IncomingMessage): Promise<PeekResult> {
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
    throw new OutcomeError('the request body ended before it was complete', props, { cause });
  }
  const rest = isDone ? undefined : iterator;
  return {
    prefix,
    length: isDone ? length : declaredLength(request),
    body: Readable.from(concatenated(prefix, rest), { objectMode: false }),
  };
}

/** Digest of a request. Beyond the prefix, bodies are told apart by their length only. */
export function fingerprintOf(
  { method, url }: Pick<IncomingMessage, 'method' | 'url'>,
  { prefix, length }: Pick<PeekResult, 'prefix' | 'length'>,
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

async function* concatenated(
  prefix: readonly Buffer[],
  rest: AsyncIterator<Buffer> | undefined,
): AsyncGenerator<Buffer> {
  yield* prefix;
  if (rest) yield* { [Symbol.asyncIterator]: () => rest };
}
