/** How the stand-in for an upstream instance treats a request: well, or in one of many bad ways. */
import { type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { type Call } from './upstream_server.js';

/** Resolves to true if the instance is to die of the request. */
export abstract class Conduct {
  abstract answer(call: Call): Promise<boolean | void> | boolean | void;
}

const SERVICE_UNAVAILABLE = 503;
const RETRY_AFTER_S = 1;
const CHUNK_BYTES = 16 * 1024;

/** Answers whole, with the id and size of the request, or as many bytes as `x-bytes` says. */
class Whole extends Conduct {
  async answer({ incoming, response, id, upstream }: Call): Promise<void> {
    let received = 0;
    for await (const chunk of incoming) received += (chunk as Buffer).length;
    const bytes = Number(incoming.headers['x-bytes'] ?? 0);
    if (bytes > 0) {
      large(response, id, bytes);
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

/** Breaks off in the middle of an answer that announced its length. */
class CutWithLength extends Conduct {
  answer({ incoming, response, id }: Call): void {
    incoming.resume();
    response.writeHead(200, { 'content-length': 1000, 'x-request': id });
    response.write('part', () => response.destroy());
  }
}

/** Breaks off in the middle of a chunked answer. */
class CutChunked extends Conduct {
  answer({ incoming, response, id }: Call): void {
    incoming.resume();
    response.writeHead(200, { 'x-request': id });
    response.write('part', () => response.destroy());
  }
}

/** Answers without a length, and ends the answer with the connection. */
class Unframed extends Conduct {
  constructor(private readonly end: (socket: Socket) => void) {
    super();
  }

  answer({ incoming, id }: Call): void {
    incoming.resume();
    const { socket } = incoming;
    const head = `HTTP/1.1 200 OK\r\nconnection: close\r\nx-request: ${id}\r\n\r\n`;
    socket.write(`${head}part`, () => this.end(socket));
  }
}

/** Runs the request and breaks the connection before it answers. */
class Break extends Conduct {
  answer({ incoming }: Call): void {
    incoming.socket.destroy();
  }
}

/** Dies of the request. */
class Crash extends Conduct {
  answer(): boolean {
    return true;
  }
}

/** Never answers, and keeps the connection. */
class Silent extends Conduct {
  answer({ incoming }: Call): void {
    incoming.resume();
  }
}

/** Begins an answer and never goes on. */
class Stall extends Conduct {
  answer({ incoming, response, id }: Call): void {
    incoming.resume();
    response.writeHead(200, { 'content-length': 1000, 'x-request': id });
    response.write('part');
  }
}

/** Has no room. */
class Shed extends Conduct {
  answer({ incoming, response, id }: Call): void {
    incoming.resume();
    response.writeHead(SERVICE_UNAVAILABLE, {
      'retry-after': String(RETRY_AFTER_S),
      'x-request': id,
    });
    response.end('busy');
  }
}

/** Claims what only barleyhaven may claim. */
class Forge extends Conduct {
  answer({ incoming, response, id }: Call): void {
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

/** Answers before it has read the body, and never reads it. */
class Early extends Conduct {
  answer({ response, id }: Call): void {
    response.writeHead(200, { 'content-length': 5, 'x-request': id });
    response.end('early');
  }
}

/** Answers twice: the second answer comes when nobody has asked. */
class Twice extends Conduct {
  answer({ incoming, response, id }: Call): void {
    incoming.resume();
    const { socket } = incoming;
    response.writeHead(200, { 'content-length': 3, 'x-request': id });
    response.end('one', () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\nx-request: nobody\r\n\r\ntwo');
    });
  }
}

/** Hints, a chunked answer, and trailers after it. */
class Trailers extends Conduct {
  answer({ incoming, response, id }: Call): void {
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

/** Writes `bytes` bytes as fast as they are taken. */
function large(response: ServerResponse, id: string, bytes: number): void {
  response.writeHead(200, { 'content-length': bytes, 'x-request': id });
  Readable.from(chunksOf(id, bytes)).pipe(response);
}

function* chunksOf(id: string, bytes: number): Generator<Buffer> {
  const chunk = Buffer.alloc(CHUNK_BYTES, id);
  for (let left = bytes; left > 0; left -= CHUNK_BYTES) {
    yield left < CHUNK_BYTES ? chunk.subarray(0, left) : chunk;
  }
}
