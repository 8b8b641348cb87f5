/** Serves the platform stand-in over HTTP; `/faults` sets its faults, `/calls` returns call counts. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { HISTORY_GONE, keyParts, type Stored } from '../platform/platform.js';
import { type Faults, PlatformStore } from './platform_store.js';
import { listen, LOOPBACK, closeServer } from './listen.js';

/** Time limit for a call to the store, and for idle connections; callers have limits of their own. */
const REQUEST_TIMEOUT_MS = 60_000;

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
    this.#server.keepAliveTimeout = REQUEST_TIMEOUT_MS;
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
    await closeServer(this.#server);
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const result = await this.#dispatch(request, response);
      sendResponse(response, result.status, result.body);
    } catch (error) {
      if (error instanceof OutcomeError && error.reason === 'timeout') response.destroy();
      else sendResponse(response, error instanceof OutcomeError ? 503 : 400, String(error));
    }
  }

  async #dispatch(request: IncomingMessage, response: ServerResponse): Promise<Reply> {
    const url = new URL(request.url ?? '/', this.url);
    if (url.pathname === '/faults') {
      Object.assign(this.store.faults, JSON.parse(await text(request)) as Partial<Faults>);
      this.store.wakeWatches();
      return okReply(this.store.faults);
    }
    if (url.pathname === '/calls') return okReply(this.store.calls);
    const [, api, objects, kind, name, part] = url.pathname.split('/');
    if (api !== 'api' || objects !== 'objects' || kind === undefined) {
      return { status: 404, body: '"no such action"' };
    }
    return this.#serveObject(request, response, {
      url,
      kind: decodeURIComponent(kind),
      name,
      part,
    });
  }

  async #serveObject(
    request: IncomingMessage,
    response: ServerResponse,
    { url, kind, name, part }: ObjectRequest,
  ): Promise<Reply> {
    const deadline = this.clock.now() + REQUEST_TIMEOUT_MS;
    if (request.method === 'POST') return this.#create(request, kind, deadline);
    if (name === undefined) {
      return url.searchParams.has('watch')
        ? this.#waitForChanges(url, kind, response)
        : this.#listPage(url, kind, deadline);
    }
    const key = `${kind}/${decodeURIComponent(name)}`;
    if (request.method === 'PUT') return this.#update(request, key, part === 'status', deadline);
    if (request.method === 'DELETE') {
      const revision = Number(url.searchParams.get('revision'));
      const isRemoved = await this.store.remove(key, revision, deadline);
      return isRemoved ? okReply({}) : this.#conflictReply(key, deadline);
    }
    const stored = await this.store.get(key, deadline);
    return stored ? okReply(objectOf(stored)) : NOT_FOUND;
  }

  async #listPage(url: URL, kind: string, deadline: number): Promise<Reply> {
    const after = url.searchParams.get('after');
    const { objects, asOf } = await this.store.listKind(kind, deadline);
    const left = after === null ? objects : objects.filter(({ key }) => key > `${kind}/${after}`);
    const items = left.slice(0, PAGE_SIZE).map(objectOf);
    return okReply({ items, hasMore: left.length > PAGE_SIZE, asOf });
  }

  async #waitForChanges(url: URL, kind: string, response: ServerResponse): Promise<Reply> {
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const until = this.clock.now() + Number(url.searchParams.get('waitMs'));
    const since = Number(url.searchParams.get('watch'));
    try {
      const { changes, asOf } = await this.store.waitForChanges(kind, since, until, gone.signal);
      const events = changes.map(({ object, isDeleted }) => ({
        object: objectOf(object),
        deleted: isDeleted,
      }));
      return okReply({ events, asOf });
    } catch (error) {
      const isGone = error instanceof OutcomeError && error.reason === HISTORY_GONE;
      if (!isGone) throw error;
      return { status: 410, body: '"that history is gone"' };
    }
  }

  async #create(request: IncomingMessage, kind: string, deadline: number): Promise<Reply> {
    const { metadata, spec } = JSON.parse(await text(request)) as StoredObject;
    const key = `${kind}/${metadata.name}`;
    const stored = await this.store.create(key, serializeSpec(spec), deadline);
    return stored ? okReply(objectOf(stored)) : this.#conflictReply(key, deadline);
  }

  async #update(
    request: IncomingMessage,
    key: string,
    isStatus: boolean,
    deadline: number,
  ): Promise<Reply> {
    const { metadata, spec, status } = JSON.parse(await text(request)) as StoredObject;
    const { revision } = metadata;
    const stored = isStatus
      ? await this.store.updateStatus(key, serializeSpec(status), revision, deadline)
      : await this.store.update(key, serializeSpec(spec), revision, deadline);
    return stored ? okReply(objectOf(stored)) : this.#conflictReply(key, deadline);
  }

  async #conflictReply(key: string, deadline: number): Promise<Reply> {
    const stored = await this.store.get(key, deadline);
    return stored ? { status: 409, body: JSON.stringify(objectOf(stored)) } : NOT_FOUND;
  }
}

/** Kind, name and part of the object that a URL addresses. */
interface ObjectRequest {
  readonly url: URL;
  readonly kind: string;
  readonly name: string | undefined;
  /** `status`, or undefined for the object itself. */
  readonly part: string | undefined;
}

interface Reply {
  readonly status: number;
  readonly body: string;
}

/** An object as sent over HTTP. */
interface StoredObject {
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
  readonly status?: unknown;
}

/** Objects per page of a listing. */
const PAGE_SIZE = 500;
const NOT_FOUND: Reply = { status: 404, body: 'null' };

function okReply(value: unknown): Reply {
  return { status: 200, body: JSON.stringify(value) };
}

function sendResponse(response: ServerResponse, status: number, body: string): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

function objectOf({ key, value, revision, created, status }: Stored) {
  const { name } = keyParts(key);
  const metadata = { name, revision, created, finalizers: [], deleting: false };
  return { metadata, spec: parseValue(value), status: parseValue(status ?? 'null') };
}

function parseValue(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}

function serializeSpec(spec: unknown): string {
  return typeof spec === 'string' ? spec : JSON.stringify(spec);
}
