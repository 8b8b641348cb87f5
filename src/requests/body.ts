/** Bodies of requests on their way to the next hop. */
import { type ClientRequest, type IncomingMessage } from 'node:http';
import { pipeline, type Readable } from 'node:stream';
import { OutcomeError } from '../contracts.js';
import { trailersOf } from './headers.js';

/** Bodies up to this size are held whole, so that they can be sent again after a `not-run`. */
export const HELD_BYTES = 64 * 1024;

const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** What a request carries. */
export abstract class Body {
  /** Headers that frame it on the wire, as names and values in turn. */
  abstract readonly framing: readonly string[];

  /** Whether all of it is still here to be sent again. */
  abstract readonly isWhole: boolean;

  /** Sends it and ends `request`. */
  abstract send(request: ClientRequest): void;
}

/** No body at all. */
export class EmptyBody extends Body {
  readonly framing: readonly string[];

  readonly isWhole = true;

  constructor(method = 'GET') {
    super();
    this.framing = METHODS_WITH_BODY.has(method) ? ['content-length', '0'] : [];
  }

  send(request: ClientRequest): void {
    request.end();
  }
}

/** A small body, held in memory. */
export class HeldBody extends Body {
  readonly framing: readonly string[];

  readonly isWhole = true;

  constructor(private readonly bytes: Buffer) {
    super();
    this.framing = ['content-length', String(bytes.length)];
  }

  send(request: ClientRequest): void {
    request.end(this.bytes);
  }
}

/** How a body is streamed. */
export interface StreamOptions {
  /** What was read of it already. */
  readonly prefix: readonly Buffer[];
  /** A longer body is cut off with `body-too-large`, in bytes. */
  readonly maxBytes: number;
  /** Holds the body back until the far end asks for it, so that a refusal leaves it untouched. */
  readonly waits: boolean;
}

/** A body passed on as it comes in, with back-pressure; it can be sent once. */
export class StreamedBody extends Body {
  readonly framing: readonly string[];

  #isPoured = false;

  constructor(
    private readonly source: IncomingMessage,
    private readonly options: StreamOptions,
  ) {
    super();
    const size = framingOf(source);
    this.framing = options.waits ? [...size, 'expect', '100-continue'] : size;
  }

  get isWhole(): boolean {
    return !this.#isPoured;
  }

  send(request: ClientRequest): void {
    if (this.options.waits) request.once('continue', () => this.#pour(request));
    else this.#pour(request);
  }

  #pour(request: ClientRequest): void {
    const { prefix, maxBytes } = this.options;
    const { source } = this;
    this.#isPoured = true;
    let size = 0;
    for (const chunk of prefix) {
      size += chunk.length;
      request.write(chunk);
    }
    source.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) return;
      // The answer may be over while the caller still sends: then there is nobody left to tell.
      if (request.destroyed) source.destroy();
      else request.destroy(tooLarge(maxBytes, 'may-have-run'));
    });
    source.once('end', () => {
      const trailers = trailersOf(source.trailers);
      if (trailers && request.chunkedEncoding) request.addTrailers(trailers);
      request.end();
    });
    source.pipe(request, { end: false });
    // Nobody takes the rest when the far end has answered early; the caller still sends it.
    request.once('close', () => source.resume());
  }
}

/** A body of which the beginning was looked at; it can be sent once. */
export class OpenedBody extends Body {
  readonly framing: readonly string[];

  readonly isWhole = false;

  constructor(
    request: IncomingMessage,
    private readonly source: Readable,
  ) {
    super();
    this.framing = framingOf(request);
  }

  send(request: ClientRequest): void {
    // A body that breaks off leaves the exchange in doubt, and so does an early answer.
    pipeline(this.source, request, () => {});
  }
}

/** Whether the message head announces a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Reads a body as far as it may be held. Rejects with `not-run` when it is too large, when the
 * caller breaks off, or when it is not there within `timeoutMs`.
 */
export function takeBody(
  request: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
): Promise<Body> {
  const length = Number(request.headers['content-length'] ?? 0);
  if (length > maxBytes) return Promise.reject(tooLarge(maxBytes, 'not-run'));
  if (length > HELD_BYTES) {
    return Promise.resolve(new StreamedBody(request, { prefix: [], maxBytes, waits: true }));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const take = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) finish(() => reject(tooLarge(maxBytes, 'not-run')));
      else if (size > HELD_BYTES) {
        const body = new StreamedBody(request, { prefix: chunks, maxBytes, waits: true });
        finish(() => resolve(body));
      }
    };
    const end = () => {
      const [first] = chunks;
      const bytes = chunks.length === 1 && first ? first : Buffer.concat(chunks);
      finish(() => resolve(new HeldBody(bytes)));
    };
    const broken = () => finish(() => reject(brokenOff()));
    const late = () => finish(() => reject(tooSlow()));
    const timer = setTimeout(late, timeoutMs);
    const finish = (settle: () => void) => {
      clearTimeout(timer);
      request.pause();
      request.off('data', take).off('end', end).off('error', broken).off('close', broken);
      settle();
    };
    request.on('data', take).on('end', end).on('error', broken).on('close', broken);
  });
}

/** How the next hop is told where the body ends: as it was told here. */
function framingOf(request: IncomingMessage): readonly string[] {
  const length = request.headers['content-length'];
  return length === undefined ? ['transfer-encoding', 'chunked'] : ['content-length', length];
}

function tooLarge(maxBytes: number, verdict: 'not-run' | 'may-have-run'): OutcomeError {
  const message = `the route takes ${maxBytes} bytes of body at most`;
  return new OutcomeError(message, { verdict, reason: 'body-too-large' });
}

function brokenOff(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'bad-request' } as const;
  return new OutcomeError('the body broke off', props);
}

function tooSlow(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'slow-request' } as const;
  return new OutcomeError('the body did not come in time', props);
}
