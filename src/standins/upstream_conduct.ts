/** Ways in which the stand-in for an upstream instance responds to a request: correct and faulty ones. */
import { type OutgoingHttpHeaders, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { type ReceivedRequest } from './upstream_server.js';

/** Responds to a request. */
export abstract class Conduct {
  /** Returns, or resolves to, true if the instance is to crash because of the request. */
  abstract answer(received: ReceivedRequest): Promise<boolean | void> | boolean | void;
}

const SERVICE_UNAVAILABLE = 503;
const RETRY_AFTER_S = 1;
const CHUNK_BYTES = 16 * 1024;

/** Sends a complete response: the id and size of the request, or a body of `x-bytes` bytes. */
class Whole extends Conduct {
  async answer({ incoming, response, id, upstream }: ReceivedRequest): Promise<void> {
    let received = 0;
    for await (const chunk of incoming) received += (chunk as Buffer).length;
    const bytes = Number(incoming.headers['x-bytes'] ?? 0);
    if (bytes > 0) {
      sendLargeBody(response, id, bytes);
      return;
    }
    const body = JSON.stringify({ upstream, request: id, received });
    response.writeHead(Number(incoming.headers['x-status'] ?? 200), {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request': id,
    });
    response.end(body);
  }
}

/** Breaks the connection in the middle of a response with a content length. */
class CutWithLength extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeHead(200, { 'content-length': 1000, 'x-request': id });
    response.write('part', () => response.destroy());
  }
}

/** Breaks the connection in the middle of a chunked response. */
class CutChunked extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeHead(200, { 'x-request': id });
    response.write('part', () => response.destroy());
  }
}

/** Responds without content length or chunks; the end of the connection ends the response. */
class Unframed extends Conduct {
  constructor(private readonly end: (socket: Socket) => void) {
    super();
  }

  answer({ incoming, id }: ReceivedRequest): void {
    incoming.resume();
    const { socket } = incoming;
    const head = `HTTP/1.1 200 OK\r\nconnection: close\r\nx-request: ${id}\r\n\r\n`;
    socket.write(`${head}part`, () => this.end(socket));
  }
}

/** Runs the request and breaks the connection before responding. */
class Break extends Conduct {
  answer({ incoming }: ReceivedRequest): void {
    incoming.socket.destroy();
  }
}

/** Crashes the instance. */
class Crash extends Conduct {
  answer(): boolean {
    return true;
  }
}

/** Never responds, but keeps the connection open. */
class Silent extends Conduct {
  answer({ incoming }: ReceivedRequest): void {
    incoming.resume();
  }
}

/** Sends the beginning of a response and then stalls, keeping the connection open. */
class Stall extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeHead(200, { 'content-length': 1000, 'x-request': id });
    response.write('part');
  }
}

/** Sheds load: responds with 503 and a `retry-after` header. */
class Shed extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeHead(SERVICE_UNAVAILABLE, {
      'retry-after': String(RETRY_AFTER_S),
      'x-request': id,
    });
    response.end('busy');
  }
}

/** Responds with forged `barleyhaven-` headers, which only barleyhaven itself may set. */
class Forge extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeHead(200, {
      'barleyhaven-verdict': 'not-run',
      'barleyhaven-reason': 'draining',
      'barleyhaven-request-id': 'forged',
      'x-request': id,
    });
    response.end('forged');
  }
}

/** Sends an empty response with headers in which the instance states something about itself. */
export class StatingConduct extends Conduct {
  /** Instants at which requests arrived, in milliseconds since the epoch. */
  readonly arrivals: number[] = [];

  constructor(private readonly headers: OutgoingHttpHeaders) {
    super();
  }

  answer({ incoming, response, id }: ReceivedRequest): void {
    this.arrivals.push(Date.now());
    incoming.resume();
    response.writeHead(200, { ...this.headers, 'x-request': id });
    response.end();
  }
}

/** Responds without ever reading the body of the request. */
class Early extends Conduct {
  answer({ response, id }: ReceivedRequest): void {
    response.writeHead(200, { 'content-length': 5, 'x-request': id });
    response.end('early');
  }
}

/** Sends two responses to one request; the second is unsolicited. */
class Twice extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    const { socket } = incoming;
    response.writeHead(200, { 'content-length': 3, 'x-request': id });
    response.end('one', () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\nx-request: nobody\r\n\r\ntwo');
    });
  }
}

/** Sends early hints, then a chunked response with trailers. */
class Trailers extends Conduct {
  answer({ incoming, response, id }: ReceivedRequest): void {
    incoming.resume();
    response.writeEarlyHints({ link: '</style.css>; rel=preload' });
    response.writeHead(200, { trailer: 'x-sum', 'x-request': id });
    response.write('body');
    response.addTrailers({ 'x-sum': '42', 'barleyhaven-verdict': 'not-run' });
    response.end();
  }
}

const CONDUCTS = {
  whole: new Whole(),
  'cut-length': new CutWithLength(),
  'cut-chunked': new CutChunked(),
  unframed: new Unframed((socket) => socket.end()),
  'unframed-reset': new Unframed((socket) => socket.resetAndDestroy()),
  break: new Break(),
  crash: new Crash(),
  silent: new Silent(),
  stall: new Stall(),
  shed: new Shed(),
  forge: new Forge(),
  early: new Early(),
  twice: new Twice(),
  trailers: new Trailers(),
} as const;

export type ConductName = keyof typeof CONDUCTS;

export function conductOf(name: string | string[] | undefined): Conduct | undefined {
  return CONDUCTS[name as ConductName];
}

/** Sends a body of `bytes` bytes, paced by backpressure. */
function sendLargeBody(response: ServerResponse, id: string, bytes: number): void {
  response.writeHead(200, { 'content-length': bytes, 'x-request': id });
  Readable.from(chunksOf(id, bytes)).pipe(response);
}

function* chunksOf(id: string, bytes: number): Generator<Buffer> {
  const chunk = Buffer.alloc(CHUNK_BYTES, id);
  for (let left = bytes; left > 0; left -= CHUNK_BYTES) {
    yield left < CHUNK_BYTES ? chunk.subarray(0, left) : chunk;
  }
}
