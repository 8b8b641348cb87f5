/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

const PAGE = 500;

export class Store {
  revision = 1;

  /** By kind, then by name. */
  kinds = new Map();

  /** The last changes: `{ kind, object, deleted, revision }`. */
  history = [];

  /**
   * `up`; `reset`: new and open channels are reset; `busy`: 503 to every call; `silent`: no answer.
   */
  mode = 'up';

  /** Calls answered, by method. */
  calls = {};

  /** Ends of the watches that wait, in milliseconds of `performance.now`, by kind. */
  watches = new Map();

  #waiters = new Set();

  #sockets = new Set();

  /** Channels that have gone silent for good. */
  #silent = new WeakSet();

  #server;

  async start() {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      if (this.mode === 'reset') {
        socket.resetAndDestroy();
        return;
      }
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this.#server.address().port;
  }

  /** Changes the mode; with `reset` all open channels are reset. */
  set(mode) {
    this.mode = mode;
    if (mode === 'reset') for (const socket of this.#sockets) socket.resetAndDestroy();
    for (const wake of this.#waiters) wake();
  }

  /** All open channels go silent for good, without a reset; new ones work. Returns their number. */
  silenceChannels() {
    for (const socket of this.#sockets) this.#silent.add(socket);
    return this.#sockets.size;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What the operator writes; returns the revision, which is the ack. */
  put(kind, name, spec) {
    const objects = this.#of(kind);
    const held = objects.get(name);
    this.revision += 1;
    const created = held?.metadata.created ?? this.revision;
    const metadata = { name, revision: this.revision, created, finalizers: [], deleting: false };
    this.#change(kind, { metadata, spec, status: held?.status ?? null }, false);
    return this.revision;
  }

  get(kind, name) {
    return this.#of(kind).get(name);
  }

  #of(kind) {
    let objects = this.kinds.get(kind);
    if (!objects) this.kinds.set(kind, (objects = new Map()));
    return objects;
  }

  #change(kind, object, deleted) {
    const { name } = object.metadata;
    if (deleted) this.#of(kind).delete(name);
    else this.#of(kind).set(name, object);
    this.history.push({ kind, object, deleted, revision: this.revision });
    for (const wake of this.#waiters) wake();
  }

  async #serve(request, response) {
    if (this.mode === 'silent' || this.#silent.has(request.socket)) return;
    const body = await text(request);
    const [status, value] =
      this.mode === 'busy' ? [503, 'busy'] : await this.#answer(request, response, body);
    const isSilent = this.mode === 'silent' || this.#silent.has(request.socket);
    if (response.destroyed || isSilent) return;
    this.calls[request.method] = (this.calls[request.method] ?? 0) + 1;
    const answer = JSON.stringify(value);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(answer),
    });
    response.end(answer);
  }

  async #answer(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const [, api, objects, kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    if (api !== 'api' || objects !== 'objects' || !kind) return [404, 'no such call'];
    const { method } = request;
    if (method === 'GET' && name === undefined)
      return url.searchParams.has('watch')
        ? this.#watch(kind, url, response)
        : this.#list(kind, url);
    if (method === 'POST') return this.#create(kind, JSON.parse(body));
    const held = this.#of(kind).get(name);
    if (!held) return [404, null];
    if (method === 'GET') return [200, held];
    const sent = body === '' ? {} : JSON.parse(body);
    const match = sent.metadata?.revision ?? url.searchParams.get('revision');
    if (match !== undefined && match !== null && Number(match) !== held.metadata.revision)
      return [409, held];
    if (method === 'DELETE') {
      this.revision += 1;
      this.#change(kind, held, true);
      return [200, held];
    }
    return this.#update(kind, held, sent, part === 'status');
  }

  #update(kind, held, sent, isStatus) {
    const next = isStatus ? { ...held, status: sent.status } : { ...held, spec: sent.spec };
    if (JSON.stringify(next) === JSON.stringify(held)) return [200, held];
    this.revision += 1;
    next.metadata = { ...held.metadata, revision: this.revision };
    this.#change(kind, next, false);
    return [200, next];
  }

  #create(kind, { metadata, spec }) {
    const held = this.#of(kind).get(metadata.name);
    if (held) return [409, held];
    this.put(kind, metadata.name, spec);
    return [201, this.#of(kind).get(metadata.name)];
  }

  #list(kind, url) {
    const after = url.searchParams.get('after');
    const names = [...this.#of(kind).keys()]
      .sort()
      .filter((name) => after === null || name > after);
    const items = names.slice(0, PAGE).map((name) => this.#of(kind).get(name));
    return [200, { items, hasMore: names.length > PAGE, asOf: this.revision }];
  }

  async #watch(kind, url, response) {
    const since = Number(url.searchParams.get('watch'));
    const until = performance.now() + Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0));
    const ends = this.watches.get(kind) ?? new Set();
    this.watches.set(kind, ends.add(until));
    response.once('close', () => ends.delete(until));
    for (;;) {
      const found = this.history.filter((one) => one.kind === kind && one.revision > since);
      const left = until - performance.now();
      if (found.length > 0 || left <= 0) {
        const events = found.map(({ object, deleted }) => ({ object, deleted }));
        return [200, { events, asOf: this.revision }];
      }
      await this.#wait(left, response);
      if (this.mode === 'busy') return [503, 'busy'];
      if (response.destroyed) return [200, null];
    }
  }

  #wait(ms, response) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        response.off('close', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this.#waiters.add(finish);
      response.once('close', finish);
    });
  }
}
