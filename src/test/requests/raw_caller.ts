/** A caller that keeps one connection and writes requests on it whenever a test says so. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { LOOPBACK } from '../../standins/listen.js';

export interface RawRequest {
  readonly path: string;
  /** Header `x-request`, by which upstream instances count runs. */
  readonly id: string;
  readonly timeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

export class RawCaller implements Disposable {
  /** All that was received so far. */
  received = '';

  /** Resolves to all that was received once the connection has closed. */
  readonly closed: Promise<string>;

  private constructor(private readonly socket: Socket) {
    socket.setEncoding('latin1').on('data', (chunk: string) => {
      this.received += chunk;
    });
    socket.on('error', () => {});
    this.closed = once(socket, 'close').then(() => this.received);
  }

  static async connect(port: number): Promise<RawCaller> {
    const socket = connect(port, LOOPBACK);
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  send({ path, id, timeoutMs, headers = {} }: RawRequest): void {
    const given = { host: 'a', 'x-request': id, ...headers };
    const all = timeoutMs === undefined ? given : { ...given, 'request-timeout-ms': timeoutMs };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
  }

  /** Stops reading, so that a large response is held up in this process. */
  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Status codes of the responses received so far, in order. */
  get statuses(): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}
