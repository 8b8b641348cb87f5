/** An upstream instance that answers with bytes without end, or with an answer that never ends. */
import { createServer, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './listen.js';
import { bind } from '../daemon/bind.js';

const CHUNK_BYTES = 16 * 1024;

const filler = 'x'.repeat(CHUNK_BYTES);
const chunk = `${CHUNK_BYTES.toString(16)}\r\n${filler}\r\n`;
const OK = 'HTTP/1.1 200 OK\r\n';

/** What is sent once, and what is then repeated until the channel closes. */
interface Stream {
  readonly first: string;
  readonly repeated: string;
}

export const STREAMS = {
  'noise before a head': { first: '', repeated: filler },
  'empty lines before a head': { first: '', repeated: '\r\n'.repeat(CHUNK_BYTES / 2) },
  'informational heads': { first: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(600) },
  'a status line': { first: 'HTTP/1.1 200 ', repeated: filler },
  'one header': { first: `${OK}x-long: `, repeated: filler },
  'many headers': { first: OK, repeated: 'x-many: 1\r\n'.repeat(1_400) },
  'a body in chunks': { first: `${OK}transfer-encoding: chunked\r\n\r\n`, repeated: chunk },
  'a chunk extension': { first: `${OK}transfer-encoding: chunked\r\n\r\n1;`, repeated: filler },
  'a body to the end of the channel': { first: `${OK}\r\n`, repeated: filler },
  trailers: {
    first: `${OK}transfer-encoding: chunked\r\n\r\n0\r\n`,
    repeated: 'x-many: 1\r\n'.repeat(1_400),
  },
  'noise after an answer': { first: `${OK}content-length: 2\r\n\r\nok`, repeated: filler },
} satisfies Record<string, Stream>;

export type StreamName = keyof typeof STREAMS;

export class EndlessUpstream implements AsyncDisposable {
  /** Number of channels that were opened. */
  opened = 0;

  /** Channels that are open. */
  readonly open = new Set<Socket>();

  readonly #server: Server;

  port = 0;

  private constructor(
    private readonly stream: Stream,
    /** Time between two repetitions, in milliseconds; 0 for as fast as they are read. */
    private readonly intervalMs: number,
  ) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  static async start(name: StreamName, intervalMs: number): Promise<EndlessUpstream> {
    const upstream = new EndlessUpstream(STREAMS[name], intervalMs);
    upstream.port = await bind(upstream.#server, LOOPBACK, 0);
    return upstream;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.open) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.opened += 1;
    this.open.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.open.delete(socket));
    socket.once('data', () => {
      socket.write(this.stream.first);
      this.#repeat(socket);
    });
  }

  #repeat(socket: Socket): void {
    if (socket.destroyed) return;
    const hasRoom = socket.write(this.stream.repeated);
    const next = () => this.#repeat(socket);
    if (this.intervalMs > 0) setTimeout(next, this.intervalMs);
    else if (hasRoom) setImmediate(next);
    else socket.once('drain', next);
  }
}
