/** Links over TCP. Each frame is a four-byte big-endian length followed by an encoded message. */
import { connect as connectSocket, type Socket } from 'node:net';
import { OutcomeError } from '../contracts.js';
import { type Codec } from './codec.js';
import { Link } from './link.js';

const HEADER_BYTES = 4;
/**
 * Maximum length of an encoded message, in bytes: more than a page with the largest resource, which
 * is as large as a configuration may be, or the roster of a large fleet. A longer one means that the
 * far end does not speak this protocol.
 */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

export class TcpLink extends Link {
  readonly #closing = new AbortController();

  #receiver: ((message: unknown) => void) | undefined;

  readonly #undelivered: unknown[] = [];

  #buffered: Buffer = Buffer.alloc(0);

  constructor(
    private readonly socket: Socket,
    private readonly codec: Codec,
  ) {
    super();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.#receiveChunk(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.#closing.abort());
  }

  get closed(): AbortSignal {
    return this.#closing.signal;
  }

  get bytesSent(): number {
    return this.socket.bytesWritten;
  }

  get bytesReceived(): number {
    return this.socket.bytesRead;
  }

  send(message: unknown): void {
    if (this.socket.destroyed) return;
    const payload = this.codec.encode(message);
    if (payload.length > MAX_FRAME_BYTES) throw tooLarge(payload.length);
    const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    frame.writeUInt32BE(payload.length);
    frame.set(payload, HEADER_BYTES);
    this.socket.write(frame);
  }

  receive(receiver: (message: unknown) => void): void {
    this.#receiver = receiver;
    for (const message of this.#undelivered.splice(0)) receiver(message);
  }

  close(): void {
    this.socket.destroy();
    this.#closing.abort();
  }

  #receiveChunk(chunk: Buffer): void {
    let buffer = this.#buffered.length > 0 ? Buffer.concat([this.#buffered, chunk]) : chunk;
    while (buffer.length >= HEADER_BYTES) {
      const end = HEADER_BYTES + buffer.readUInt32BE(0);
      if (end > HEADER_BYTES + MAX_FRAME_BYTES) {
        this.close();
        return;
      }
      if (buffer.length < end) break;
      this.#deliver(buffer.subarray(HEADER_BYTES, end));
      buffer = buffer.subarray(end);
    }
    this.#buffered = buffer;
  }

  /** Delivers a message. An invalid one closes the link, since what follows cannot be trusted. */
  #deliver(frame: Buffer): void {
    let message: unknown;
    try {
      message = this.codec.decode(frame);
    } catch {
      this.close();
      return;
    }
    if (this.#receiver) this.#receiver(message);
    else this.#undelivered.push(message);
  }
}

/** Error for a message on which the far end would close the link, only to be sent it again. */
function tooLarge(bytes: number): OutcomeError {
  const message = `message too large: ${bytes} bytes, ${MAX_FRAME_BYTES} are allowed`;
  return new OutcomeError(message, { verdict: 'not-run', reason: 'too-large' });
}

/**
 * Opens a link. Rejects with an `OutcomeError` of verdict `not-run` if the connection fails or is
 * not established within `timeoutMs`.
 */
export function connect(
  host: string,
  port: number,
  codec: Codec,
  timeoutMs: number,
): Promise<TcpLink> {
  return new Promise((resolve, reject) => {
    const socket = connectSocket({ host, port });
    const fail = (cause: Error) => {
      socket.destroy();
      const props = { verdict: 'not-run', reason: 'unreachable' } as const;
      reject(new OutcomeError(`no link to ${host}:${port}`, props, { cause }));
    };
    const timer = setTimeout(
      () => fail(new Error(`no connection within ${timeoutMs} ms`)),
      timeoutMs,
    );
    socket.once('error', fail);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      resolve(new TcpLink(socket, codec));
    });
  });
}
