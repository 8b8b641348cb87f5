/** Serves the platform stand-in over HTTP, with a port to make it misbehave. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Range } from '../platform/platform.js';
import { type Faults, PlatformStore } from './platform_store.js';
import { listen, LOOPBACK, shut } from './listen.js';

/** A deadline for the stand-in's own work; callers have their own. */
const PATIENCE_MS = 60_000;

/**
 * @example
 * ```ts
 * await using platform = await PlatformServer.start(new MachineClock());
 * platform.store.faults.down = true;
 * ```
 */
export class PlatformServer implements AsyncDisposable {
  readonly store: PlatformStore;

  readonly #server: Server;

  #port = 0;

  private constructor(private readonly clock: Clock) {
    this.store = new PlatformStore(clock);
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = PATIENCE_MS;
  }

  static async start(clock: Clock, port = 0): Promise<PlatformServer> {
    const platform = new PlatformServer(clock);
    platform.#port = await listen(platform.#server, port);
    return platform;
  }

  get url(): URL {
    return new URL(`http://${LOOPBACK}:${this.#port}`);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await shut(this.#server);
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const result = await this.#dispatch(request, response);
      answer(response, result.status, result.body);
    } catch (error) {
      if (error instanceof OutcomeError && error.reason === 'timeout') response.destroy();
      else answer(response, error instanceof OutcomeError ? 503 : 400, String(error));
    }
  }

  async #dispatch(request: IncomingMessage, response: ServerResponse) {
    const url = new URL(request.url ?? '/', this.url);
    const deadline = this.clock.now() + PATIENCE_MS;
    const [, action = '', name = ''] = url.pathname.split('/');
    switch (action) {
      case 'objects':
        return this.#object(request, decodeURIComponent(name), deadline);
      case 'list':
        return found(await this.store.list(rangeOf(url), deadline));
      case 'watch': {
        const gone = new AbortController();
        response.once('close', () => gone.abort());
        const until = this.clock.now() + Number(url.searchParams.get('wait'));
        return found(await this.store.watch(rangeOf(url), until, gone.signal));
      }
      case 'faults':
        Object.assign(this.store.faults, JSON.parse(await text(request)) as Partial<Faults>);
        this.store.disturb();
        return found(this.store.faults);
      case 'calls':
        return found(this.store.calls);
      default:
        return { status: 404, body: '"no such action"' };
    }
  }

  async #object(request: IncomingMessage, key: string, deadline: number) {
    const revision = Number(request.headers['if-match']);
    if (request.method === 'GET') {
      const stored = await this.store.get(key, deadline);
      return stored ? found(stored) : { status: 404, body: 'null' };
    }
    if (request.method === 'DELETE') {
      const removed = await this.store.remove(key, revision, deadline);
      return removed ? found(true) : CONFLICT;
    }
    const value = await text(request);
    const written =
      request.headers['if-none-match'] === '*'
        ? await this.store.create(key, value, deadline)
        : await this.store.update(key, value, revision, deadline);
    return written ? found(written) : CONFLICT;
  }
}

const CONFLICT = { status: 412, body: 'null' };

function found(value: unknown) {
  return { status: 200, body: JSON.stringify(value) };
}

function answer(response: ServerResponse, status: number, body: string): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

function rangeOf(url: URL): Range {
  const after = url.searchParams.get('after');
  const limit = url.searchParams.get('limit');
  return {
    prefix: url.searchParams.get('prefix') ?? '',
    ...(after !== null && { after }),
    ...(limit !== null && { limit: Number(limit) }),
  };
}
