/** Records the outcome of a claimed request, and replays it to repeats. */
import { type IncomingMessage, type OutgoingHttpHeaders, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { type Outcome, OutcomeError } from '../contracts.js';
import { REPLAYED, VERDICT } from '../requests/headers.js';
import { declaresFalseBody } from '../requests/http_syntax.js';

/** Longer bodies, in bytes, are not kept: repeats learn that the request ran, but get no answer. */
export const MAX_OUTCOME_BODY_BYTES = 16 * 1024;
const KEPT_HEADERS = [
  'content-type',
  'content-encoding',
  'content-language',
  'location',
  'etag',
  'last-modified',
];
/** Longer header values, in characters, are dropped. */
const MAX_HEADER_LENGTH = 1024;

/**
 * Relays an answer to the caller and resolves to a copy of it. The upstream's answer is read to its
 * end even if the caller has disconnected, because the caller will repeat the request to learn its
 * outcome. Rejects if the upstream's answer is truncated.
 */
export async function relayAndRecord(
  answer: IncomingMessage,
  response: ServerResponse,
): Promise<Outcome> {
  const kept: Buffer[] = [];
  let length = 0;
  const body = declaresFalseBody(answer) ? [] : (answer as AsyncIterable<Buffer>);
  for await (const chunk of body) {
    length += chunk.length;
    if (length <= MAX_OUTCOME_BODY_BYTES) kept.push(chunk);
    if (!response.destroyed && !response.write(chunk)) await waitForDrain(response);
  }
  response.end();
  return {
    status: answer.statusCode ?? 0,
    headers: keptHeaders(answer.headers),
    ...(length <= MAX_OUTCOME_BODY_BYTES && { body: Buffer.concat(kept).toString('base64') }),
  };
}

/** Answers with a recorded outcome. Throws `answer-not-kept` (`ran`) if its body was too large. */
export function replayOutcome(response: ServerResponse, { status, headers, body }: Outcome): void {
  if (body === undefined) {
    const props = { verdict: 'ran', reason: 'answer-not-kept' } as const;
    throw new OutcomeError(
      `the request ran before with status ${status}; its answer was too large to keep`,
      props,
    );
  }
  const bytes = Buffer.from(body, 'base64');
  const heads: OutgoingHttpHeaders = { ...headers, [VERDICT]: 'ran', [REPLAYED]: 'true' };
  if (hasBody(status)) heads['content-length'] = bytes.length;
  response.writeHead(status, heads);
  response.end(bytes);
}

/** Resolves when the write buffer has drained, or the connection has closed. */
async function waitForDrain(response: ServerResponse): Promise<void> {
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
