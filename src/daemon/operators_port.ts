/** HTTP server for operators, their tool and the local upstream instance. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import { Announcement } from '../membership/announcement.js';
import { type Instance } from './instance.js';
import { Metrics } from './metrics.js';
import { operatorMethods } from './operator_methods.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;

export class OperatorsPort implements AsyncDisposable {
  readonly server: Server;

  readonly #rpc: JSONRPCServer;

  readonly #metrics: Metrics;

  constructor(private readonly instance: Instance) {
    this.#metrics = new Metrics(instance);
    this.#rpc = operatorMethods(instance);
    this.server = createServer((request, response) => void this.#serve(request, response));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#dispatch(request, response);
    } catch (error) {
      respond(response, 400, { message: String(error) });
    }
  }

  async #dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://operators');
    switch (url.pathname) {
      case '/rpc': {
        const payload = JSON.parse(await readBody(request)) as JSONRPCRequest;
        respond(response, 200, await this.#rpc.receive(payload));
        return;
      }
      case '/announcement': {
        const announcement = Announcement.parse(JSON.parse(await readBody(request)));
        this.instance.control.endpointLease.renew(announcement);
        respond(response, 200, {});
        return;
      }
      case '/ready': {
        const { isReady } = this.instance;
        respond(response, isReady ? 200 : 503, { ready: isReady });
        return;
      }
      case '/version': {
        await this.#waitForVersionAbove(url, response);
        const { number, digest } = this.instance.replica.current;
        respond(response, 200, { number, digest });
        return;
      }
      case '/metrics':
        response.writeHead(200, { 'content-type': this.#metrics.contentType });
        response.end(await this.#metrics.text());
        return;
      case '/endpoints':
        respond(response, 200, { endpoints: this.instance.roster.readyEndpointCount });
        return;
      case '/configuration':
        respond(response, 200, this.instance.replica.snapshot());
        return;
      default:
        respond(response, 404, { message: `not found: ${url.pathname}` });
    }
  }

  /**
   * Resolves when a version above the query parameter `above` is in force, after `wait`
   * milliseconds or when the client disconnects. Without parameters it resolves immediately.
   */
  async #waitForVersionAbove({ searchParams }: URL, response: ServerResponse): Promise<void> {
    const { replica, dependencies } = this.instance;
    const above = Number(searchParams.get('above') ?? -1);
    const deadline = dependencies.clock.now() + Number(searchParams.get('wait') ?? 0);
    const disconnected = new AbortController();
    response.once('close', () => disconnected.abort());
    await replica.waitUntilAbove(above, deadline, dependencies.clock, disconnected.signal);
  }
}

function respond(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) throw new Error(`request body exceeds ${MAX_BODY_BYTES} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
