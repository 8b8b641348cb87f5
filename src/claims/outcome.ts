/** Keeps how a claimed request ended, and gives it to those who repeat it. */
import { type IncomingMessage, type OutgoingHttpHeaders, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { type Outcome, OutcomeError } from '../contracts.js';
import { REPLAYED, VERDICT } from '../requests/headers.js';

/** Larger bodies are not kept: repeats are told that the request ran, but not the answer. */
export const MAX_OUTCOME_BODY_BYTES = 16 * 1024;
/** Headers that are kept with an outcome. */
const KEPT_HEADERS = [
  'content-type',
  'content-encoding',
  'content-language',
  'location',
  'etag',
  'last-modified',
];
/** Longer header values are dropped. */
const MAX_HEADER_LENGTH = 1024;

/**
 * Passes an answer on and keeps a copy. The upstream's answer is read to its end even when the
 * caller has gone, because the caller will repeat the request to learn how it ended. Rejects if
 * the upstream's answer is cut.
 */
export async function relayAndKeep(
  answer: IncomingMessage,
  response: ServerResponse,
): Promise<Outcome> {
  const kept: Buffer[] = [];
  let length = 0;
  for await (const chunk of answer as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length <= MAX_OUTCOME_BODY_BYTES) kept.push(chunk);
    if (!response.destroyed && !response.write(chunk)) await drained(response);
  }
  response.end();
  return {
    status: answer.statusCode ?? 0,
    headers: keptHeaders(answer.headers),
    ...(length <= MAX_OUTCOME_BODY_BYTES && { body: Buffer.concat(kept).toString('base64') }),
  };
}

/** Answers a repeat with the outcome of the first request. Throws `answer-not-kept` (`ran`). */
export function replay(response: ServerResponse, { status, headers, body }: Outcome): void {
  if (body === undefined) {
    const props = { verdict: 'ran', reason: 'answer-not-kept' } as const;
    throw new OutcomeError(`ran before with status ${status}; its answer was too large`, props);
  }
  const bytes = Buffer.from(body, 'base64');
  const heads: OutgoingHttpHeaders = { ...headers, [VERDICT]: 'ran', [REPLAYED]: 'true' };
  if (hasBody(status)) heads['content-length'] = bytes.length;
  response.writeHead(status, heads);
  response.end(bytes);
}

/** Resolves when there is room again, or when nobody reads any more. */
async function drained(response: ServerResponse): Promise<void> {
  const settled = new AbortController();
  const { signal } = settled;
  const waits = [once(response, 'drain', { signal }), once(response, 'close', { signal })];
  await Promise.race(waits).catch(() => {});
  for (const wait of waits) wait.catch(() => {});
  settled.abort();
}

function keptHeaders(headers: IncomingMessage['headers']): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const name of KEPT_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string' && value.length <= MAX_HEADER_LENGTH) kept[name] = value;
  }
  return kept;
}

function hasBody(status: number): boolean {
  return status !== 204 && status !== 304;
}
