/** Request bodies as they are sent to the next hop. */
import { type ClientRequest, type IncomingMessage } from 'node:http';
import { pipeline, type Readable } from 'node:stream';
import { OutcomeError } from '../contracts.js';
import { trailersOf } from './headers.js';
import { areValidTrailers, MALFORMED_REQUEST } from './http_syntax.js';

/** Bodies up to this many bytes are buffered, so that they can be sent again after a `not-run`. */
export const MAX_BUFFERED_BYTES = 64 * 1024;

const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** Body of a request. */
export abstract class Body {
  /** Headers that frame it on the wire, as alternating names and values. */
  abstract readonly framing: readonly string[];

  /** Whether the whole body is still available to be sent again. */
  abstract readonly isResendable: boolean;

  /** Writes the body and ends `request`. */
  abstract send(request: ClientRequest): void;
}

/** No body. */
export class EmptyBody extends Body {
  readonly framing: readonly string[];

  readonly isResendable = true;

  constructor(method = 'GET') {
    super();
    this.framing = METHODS_WITH_BODY.has(method) ? ['content-length', '0'] : [];
  }

  send(request: ClientRequest): void {
    request.end();
  }
}

/** A small body, buffered in memory. */
export class BufferedBody extends Body {
  readonly framing: readonly string[];

  readonly isResendable = true;

  constructor(private readonly bytes: Buffer) {
    super();
    this.framing = ['content-length', String(bytes.length)];
  }

  send(request: ClientRequest): void {
    request.end(this.bytes);
  }
}

/** Options of a streamed body. */
export interface StreamOptions {
  /** The chunks already read. */
  readonly prefix: readonly Buffer[];
  /** Size limit in bytes; a longer body is cut off with `body-too-large`. */
  readonly maxBytes: number;
  /** Waits for `100 Continue` before sending, so that the body can be resent after a refusal. */
  readonly expectsContinue: boolean;
  /** Whether credentials among its trailers are dropped. */
  readonly dropsCredentials?: boolean;
}

/** A body streamed as it arrives, with back-pressure; it can be sent only once. */
export class StreamedBody extends Body {
  readonly framing: readonly string[];

  #hasStarted = false;

  constructor(
    private readonly source: IncomingMessage,
    private readonly options: StreamOptions,
  ) {
    super();
    const size = framingOf(source);
    this.framing = options.expectsContinue ? [...size, 'expect', '100-continue'] : size;
  }

  get isResendable(): boolean {
    return !this.#hasStarted;
  }

  send(request: ClientRequest): void {
    if (this.options.expectsContinue) request.once('continue', () => this.#stream(request));
    else this.#stream(request);
  }

  #stream(request: ClientRequest): void {
    const { prefix, maxBytes, dropsCredentials } = this.options;
    const { source } = this;
    this.#hasStarted = true;
    let size = 0;
    for (const chunk of prefix) {
      size += chunk.length;
      request.write(chunk);
    }
    source.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) return;
      // The response may have ended while the caller still sends: no error can be reported then.
      if (request.destroyed) source.destroy();
      else request.destroy(bodyTooLarge(maxBytes, 'may-have-run'));
    });
    source.once('end', () => {
      if (!areValidTrailers(source.rawTrailers)) {
        request.destroy(malformed('may-have-run'));
        return;
      }
      const trailers = trailersOf(source.trailers, dropsCredentials);
      if (trailers && request.chunkedEncoding) request.addTrailers(trailers);
      request.end();
    });
    source.pipe(request, { end: false });
    // After an early response nothing reads the rest of the body, which the caller still sends.
    request.once('close', () => source.resume());
  }
}

/** A body whose beginning was already read for its fingerprint; it can be sent only once. */
export class PeekedBody extends Body {
  readonly framing: readonly string[];

  readonly isResendable = false;

  constructor(
    request: IncomingMessage,
    private readonly source: Readable,
  ) {
    super();
    this.framing = framingOf(request);
  }

  send(request: ClientRequest): void {
    // Errors are ignored: after an aborted body or an early response the exchange reports the outcome.
    pipeline(this.source, request, () => {});
  }
}

/** Whether the message head declares a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Limits of a body that is read, and what is dropped of it. */
export interface ReadOptions {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Whether credentials among its trailers are dropped. */
  readonly dropsCredentials: boolean;
}

/**
 * Reads a body up to `MAX_BUFFERED_BYTES`; a longer one is streamed. Rejects with `not-run` when it
 * exceeds `maxBytes`, when the caller aborts, or when it has not arrived within `timeoutMs`.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs, dropsCredentials }: ReadOptions,
): Promise<Body> {
  const options = { maxBytes, expectsContinue: true, dropsCredentials };
  const length = Number(request.headers['content-length'] ?? 0);
  if (length > maxBytes) return Promise.reject(bodyTooLarge(maxBytes, 'not-run'));
  if (length > MAX_BUFFERED_BYTES) {
    return Promise.resolve(new StreamedBody(request, { ...options, prefix: [] }));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) finish(() => reject(bodyTooLarge(maxBytes, 'not-run')));
      else if (size > MAX_BUFFERED_BYTES) {
        const body = new StreamedBody(request, { ...options, prefix: chunks });
        finish(() => resolve(body));
      }
    };
    const onEnd = () => {
      if (!areValidTrailers(request.rawTrailers)) {
        finish(() => reject(malformed('not-run')));
        return;
      }
      const [first] = chunks;
      const bytes = chunks.length === 1 && first ? first : Buffer.concat(chunks);
      finish(() => resolve(new BufferedBody(bytes)));
    };
    const onAborted = () => finish(() => reject(bodyAborted()));
    const onTimeout = () => finish(() => reject(bodyTimedOut()));
    const timer = setTimeout(onTimeout, timeoutMs);
    const finish = (settle: () => void) => {
      clearTimeout(timer);
      request.pause();
      request.off('data', onData).off('end', onEnd).off('error', onAborted).off('close', onAborted);
      settle();
    };
    request.on('data', onData).on('end', onEnd).on('error', onAborted).on('close', onAborted);
  });
}

/** Frames the body for the next hop as it was framed by the sender. */
function framingOf(request: IncomingMessage): readonly string[] {
  const length = request.headers['content-length'];
  return length === undefined ? ['transfer-encoding', 'chunked'] : ['content-length', length];
}

function bodyTooLarge(maxBytes: number, verdict: 'not-run' | 'may-have-run'): OutcomeError {
  const message = `request body exceeds the route's limit of ${maxBytes} bytes`;
  return new OutcomeError(message, { verdict, reason: 'body-too-large' });
}

function malformed(verdict: 'not-run' | 'may-have-run'): OutcomeError {
  const { reason, message } = MALFORMED_REQUEST;
  return new OutcomeError(message, { verdict, reason });
}

function bodyAborted(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'bad-request' } as const;
  return new OutcomeError('request body aborted before its end', props);
}

function bodyTimedOut(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'slow-request' } as const;
  return new OutcomeError('request body not received in time', props);
}
