/** Links over TCP: each message is a frame of a four-byte length and its encoded bytes. */
import { connect as connectSocket, type Socket } from 'node:net';
import { OutcomeError } from '../contracts.js';
import { type Codec } from './codec.js';
import { Link } from './link.js';

const HEADER_BYTES = 4;
/**
 * Longest frame, in bytes: several times a page of a snapshot or the roster of a large fleet. A
 * longer one means that the other end talks nonsense.
 */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

export class TcpLink extends Link {
  readonly #closing = new AbortController();

  #receiver: ((message: unknown) => void) | undefined;

  readonly #early: unknown[] = [];

  #buffered: Buffer = Buffer.alloc(0);

  constructor(
    private readonly socket: Socket,
    private readonly codec: Codec,
  ) {
    super();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.#take(chunk));
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
    for (const message of this.#early.splice(0)) receiver(message);
  }

  close(): void {
    this.socket.destroy();
    this.#closing.abort();
  }

  #take(chunk: Buffer): void {
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

  /** A frame that does not decode closes the link: what follows it cannot be trusted either. */
  #deliver(frame: Buffer): void {
    let message: unknown;
    try {
      message = this.codec.decode(frame);
    } catch {
      this.close();
      return;
    }
    if (this.#receiver) this.#receiver(message);
    else this.#early.push(message);
  }
}

/** The other end would close the link on such a frame, and it would be sent again on the next. */
function tooLarge(bytes: number): OutcomeError {
  const message = `a message of ${bytes} bytes; ${MAX_FRAME_BYTES} are allowed`;
  return new OutcomeError(message, { verdict: 'not-run', reason: 'too-large' });
}

/** Opens a link; rejects with verdict `not-run` when the other end is not there in time. */
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
    const timer = setTimeout(() => fail(new Error('timeout')), timeoutMs);
    socket.once('error', fail);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      resolve(new TcpLink(socket, codec));
    });
  });
}
