/** An upstream instance that answers with whatever bytes a test has planned for a request. */
import { createServer, type Server, type Socket } from 'node:net';
import { LOOPBACK } from '../../standins/listen.js';

export type Ending = 'keep' | 'end' | 'reset' | 'endless';

/** An answer, written piece by piece, one turn of the event loop after the other. */
export interface OddAnswer {
  readonly pieces: readonly string[];
  readonly ending: Ending;
}

/** Header that names the planned answer. */
export const PLAN_HEADER = 'x-odd';
/** Signed, which on the platform withdraws a rate limit that odd input has stated in its name. */
const SOUND =
  'HTTP/1.1 200 OK\r\ncontent-length: 5\r\nbarleyhaven-response-signature: x\r\n\r\nsound';
/** Bytes of one write of an answer without end. */
const FILL = 'a'.repeat(1_000);

export class OddUpstream implements AsyncDisposable {
  readonly #plans = new Map<string, OddAnswer>();

  readonly #sockets = new Set<Socket>();

  readonly #server: Server;

  #port = 0;

  private constructor() {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  static async start(): Promise<OddUpstream> {
    const upstream = new OddUpstream();
    await new Promise<void>((resolve) => {
      upstream.#server.listen(0, LOOPBACK, resolve);
    });
    const address = upstream.#server.address();
    upstream.#port = typeof address === 'object' && address ? address.port : 0;
    return upstream;
  }

  get port(): number {
    return this.#port;
  }

  plan(name: string, answer: OddAnswer): void {
    this.#plans.set(name, answer);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    let head = '';
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      head += chunk.toString('latin1');
      if (!head.includes('\r\n\r\n')) return;
      const [, name = ''] = new RegExp(`^${PLAN_HEADER}: (.*)\r$`, 'im').exec(head) ?? [];
      head = '';
      const answer = this.#plans.get(name);
      if (answer) send(socket, answer);
      else socket.write(SOUND);
    });
  }
}

function send(socket: Socket, { pieces, ending }: OddAnswer): void {
  const [piece, ...rest] = pieces;
  const isEndless = piece === undefined && ending === 'endless';
  if (piece !== undefined || isEndless) {
    const next = { pieces: rest, ending };
    socket.write(piece ?? FILL, 'latin1', (error) => {
      if (!error) setImmediate(() => send(socket, next));
    });
  } else if (ending === 'end') socket.end();
  else if (ending === 'reset') socket.resetAndDestroy();
}
