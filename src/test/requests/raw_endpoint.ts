/** An upstream instance that answers with given bytes, and keeps the bytes that it gets. */
import { createServer, type Server, type Socket } from 'node:net';
import { bind } from '../../daemon/bind.js';
import { LOOPBACK } from '../../standins/listen.js';
import { type TestPath } from './test_path.js';

/** The bytes with which all that has arrived on a connection is answered; undefined for none yet. */
export type Answering = (received: string) => string | undefined;

export class RawEndpoint implements AsyncDisposable {
  /** What has arrived, by connection, byte by byte. */
  readonly received: string[] = [];

  answering: Answering;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  private constructor(answering: Answering) {
    this.answering = answering;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts one in place of the upstream instance of the first guard of `path`. */
  static async start(path: TestPath, answering: Answering): Promise<RawEndpoint> {
    const endpoint = new RawEndpoint(answering);
    const port = await bind(endpoint.#server, LOOPBACK, 0);
    const announced = { upstream: 'bookings', state: 'ready', slots: 20, host: LOOPBACK } as const;
    path.endpoints[0]!.guard.announce({ ...announced, port });
    return endpoint;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    const index = this.received.push('') - 1;
    let unanswered = '';
    this.#sockets.add(socket);
    socket.setEncoding('latin1').on('error', () => {});
    socket.on('data', (text: string) => {
      this.received[index] += text;
      unanswered += text;
      const answer = this.answering(unanswered);
      if (answer === undefined) return;
      unanswered = '';
      socket.write(answer, 'latin1');
    });
  }
}

/** A request as a recipient reads it that tolerates nothing beyond RFC 9112. */
export interface StrictRequest {
  readonly target: string;
  /** Names in lower case, with values. */
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: string;
}

const REQUEST_LINE = /^[A-Z]+ ([\x21-\x7e\x80-\xff]+) HTTP\/1\.1$/;
const FIELD = /^([\w!#$%&'*+\-.^`|~]+): ?([\t\x20-\x7e\x80-\xff]*)$/;
const CHUNK = /^([\da-f]+)\r\n/;

/** Reads one whole request; undefined if it is not complete yet, an error if it is malformed. */
export function readStrictly(text: string): StrictRequest | undefined {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [line = '', ...fields] = text.slice(0, end).split('\r\n');
  const [, target] = REQUEST_LINE.exec(line) ?? [];
  if (target === undefined) throw new Error(`request line ${JSON.stringify(line)}`);
  const headers = fields.map(fieldOf);
  const valuesOf = (of: string) =>
    headers.filter(([name]) => name === of).map(([, value]) => value);
  const [lengths, codings] = [valuesOf('content-length'), valuesOf('transfer-encoding')];
  if (valuesOf('host').length !== 1) throw new Error('not exactly one host');
  if (lengths.length + codings.length > 1) throw new Error('two framings');
  const rest = text.slice(end + 4);
  if (codings.length > 0) {
    const chunks = unchunked(rest);
    return chunks && { target, headers: [...headers, ...chunks.trailers], body: chunks.body };
  }
  const length = Number(lengths[0] ?? 0);
  if (rest.length > length) throw new Error('bytes behind the body');
  return rest.length < length ? undefined : { target, headers, body: rest };
}

/** Name, in lower case, and value of a line of a head; throws if it is malformed. */
export function fieldOf(line: string): readonly [string, string] {
  const [, name, value = ''] = FIELD.exec(line) ?? [];
  if (name === undefined) throw new Error(`field ${JSON.stringify(line)}`);
  return [name.toLowerCase(), value];
}

function unchunked(text: string) {
  let [rest, body] = [text, ''];
  for (;;) {
    const [line, size] = CHUNK.exec(rest) ?? [];
    if (line === undefined || size === undefined) return undefined;
    rest = rest.slice(line.length);
    const length = parseInt(size, 16);
    if (length === 0) break;
    if (rest.length < length + 2) return undefined;
    body += rest.slice(0, length);
    if (rest.slice(length, length + 2) !== '\r\n') throw new Error('chunk without end');
    rest = rest.slice(length + 2);
  }
  if (rest === '\r\n') return { body, trailers: [] };
  if (!rest.endsWith('\r\n\r\n')) return undefined;
  return { body, trailers: rest.slice(0, -4).split('\r\n').map(fieldOf) };
}
