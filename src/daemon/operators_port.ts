/** HTTP server for operators, their tool and the local upstream instance. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import { type Replica } from '../distribution/replica.js';
import { Announcement, type EndpointLease } from '../membership/announcement.js';
import { type Roster } from '../membership/roster.js';
import { createCheckedServer } from '../requests/client_errors.js';
import { requestListener } from '../requests/request_listener.js';
import { type Clock } from '../runtime/clock.js';
import { type Metrics } from './metrics.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Parts of a process that the operators' port serves. */
export interface ServedParts {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly roster: Pick<Roster, 'readyEndpointCount'>;
  readonly endpointLease: Pick<EndpointLease, 'renew'>;
  readonly isReady: () => boolean;
  readonly metrics: Pick<Metrics, 'text' | 'contentType'>;
  readonly methods: JSONRPCServer;
}

export class OperatorsPort implements AsyncDisposable {
  readonly server: Server;

  constructor(private readonly parts: ServedParts) {
    this.server = createCheckedServer(
      requestListener('operators port', (request, response) => this.#serve(request, response)),
    );
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
    const { replica, roster, endpointLease, metrics, methods } = this.parts;
    const url = new URL(request.url ?? '/', 'http://operators');
    switch (url.pathname) {
      case '/rpc': {
        const payload = JSON.parse(await readBody(request)) as JSONRPCRequest;
        respond(response, 200, await methods.receive(payload));
        return;
      }
      case '/announcement': {
        const announcement = Announcement.parse(JSON.parse(await readBody(request)));
        endpointLease.renew(announcement);
        respond(response, 200, {});
        return;
      }
      case '/ready': {
        const isReady = this.parts.isReady();
        respond(response, isReady ? 200 : 503, { ready: isReady });
        return;
      }
      case '/version': {
        await this.#waitForVersionAbove(url, response);
        const { number, digest } = replica.current;
        respond(response, 200, { number, digest });
        return;
      }
      case '/metrics':
        await respondWithMetrics(response, metrics);
        return;
      case '/endpoints':
        respond(response, 200, { endpoints: roster.readyEndpointCount });
        return;
      case '/configuration':
        respond(response, 200, replica.snapshot());
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
    const { replica, clock } = this.parts;
    const above = Number(searchParams.get('above') ?? -1);
    const deadline = clock.now() + Number(searchParams.get('wait') ?? 0);
    const disconnected = new AbortController();
    response.once('close', () => disconnected.abort());
    await replica.waitUntilAbove(above, deadline, clock, disconnected.signal);
  }
}

/** Reads all values before the head is sent, so that a fault in one is answered with an error. */
async function respondWithMetrics(
  response: ServerResponse,
  metrics: ServedParts['metrics'],
): Promise<void> {
  const text = await metrics.text();
  response.writeHead(200, { 'content-type': metrics.contentType });
  response.end(text);
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
