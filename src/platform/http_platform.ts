/** The platform's object API over HTTP. */
import { Agent, request } from 'node:http';
import { type Clock } from '../runtime/clock.js';
import { OutcomeError, type Verdict } from '../contracts.js';
import { Platform, type Range, type Stored } from './platform.js';

interface Answer {
  readonly status: number;
  readonly body: string;
}

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;
const STATUS_UNAVAILABLE = 503;
/** How much longer than the watch itself its answer may take, in milliseconds. */
const WATCH_GRACE_MS = 2_000;
const MAX_SOCKETS = 16;

export class HttpPlatform extends Platform implements AsyncDisposable {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

  /** Calls made, by this process. */
  calls = 0;

  constructor(
    private readonly base: URL,
    private readonly clock: Clock,
  ) {
    super();
  }

  async get(key: string, deadline: number): Promise<Stored | undefined> {
    const answer = await this.#call({ method: 'GET', path: objectPath(key), deadline });
    return answer.status === STATUS_NOT_FOUND ? undefined : parse<Stored>(answer);
  }

  async list(range: Range, deadline: number): Promise<Stored[]> {
    return parse(await this.#call({ method: 'GET', path: rangePath('list', range), deadline }));
  }

  async create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    return this.#write('PUT', key, { 'if-none-match': '*' }, deadline, value);
  }

  async update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    return this.#write('PUT', key, { 'if-match': String(revision) }, deadline, value);
  }

  async remove(key: string, revision: number, deadline: number): Promise<boolean> {
    const headers = { 'if-match': String(revision) };
    const answer = await this.#call({ method: 'DELETE', path: objectPath(key), headers, deadline });
    return answer.status === STATUS_OK;
  }

  async watch(range: Range, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    const waitMs = Math.max(0, Math.round(deadline - this.clock.now()));
    const path = `${rangePath('watch', range)}&wait=${waitMs}`;
    const until = deadline + WATCH_GRACE_MS;
    const call = { method: 'GET', path, deadline: until, ...(signal && { signal }) };
    try {
      return await this.#watched(call);
    } catch (error) {
      if (signal?.aborted) return [];
      throw error;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#agent.destroy();
  }

  async #watched(call: Call): Promise<Stored[]> {
    return parse(await this.#call(call));
  }

  async #write(
    method: string,
    key: string,
    headers: Record<string, string>,
    deadline: number,
    body: string,
  ): Promise<Stored | undefined> {
    const answer = await this.#call({ method, path: objectPath(key), headers, body, deadline });
    return answer.status === STATUS_CONFLICT ? undefined : parse<Stored>(answer);
  }

  #call(call: Call): Promise<Answer> {
    this.calls += 1;
    const timeout = Math.max(1, call.deadline - this.clock.now());
    return new Promise<Answer>((resolve, reject) => {
      // Until a socket is there nothing can have left, so a failure is surely `not-run`.
      let verdict: Verdict = 'not-run';
      const fail = (cause: Error) => {
        clearTimeout(timer);
        reject(unreachable(call, verdict, cause));
      };
      const outgoing = request(new URL(call.path, this.base), {
        agent: this.#agent,
        method: call.method,
        headers: { ...call.headers, ...(call.body && { 'content-type': 'application/json' }) },
        ...(call.signal && { signal: call.signal }),
      });
      const timer = setTimeout(() => outgoing.destroy(new Error('deadline passed')), timeout);
      outgoing.on('socket', (socket) => {
        const sent = () => {
          verdict = 'may-have-run';
        };
        if (socket.connecting) socket.once('connect', sent);
        else sent();
      });
      outgoing.on('error', fail);
      outgoing.on('response', (incoming) => {
        const chunks: Buffer[] = [];
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', fail);
        incoming.on('end', () => {
          clearTimeout(timer);
          resolve({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks).toString() });
        });
      });
      outgoing.end(call.body);
    });
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function rangePath(action: string, { prefix, after, limit }: Range): string {
  const query = new URLSearchParams({ prefix });
  if (after !== undefined) query.set('after', after);
  if (limit !== undefined) query.set('limit', String(limit));
  return `/${action}?${query}`;
}

function parse<T>({ status, body }: Answer): T {
  if (status === STATUS_OK) return JSON.parse(body) as T;
  const down = status === STATUS_UNAVAILABLE;
  throw new OutcomeError(`platform answered ${status}: ${body.slice(0, 200)}`, {
    verdict: down || (status >= 400 && status < 500) ? 'not-run' : 'may-have-run',
    reason: down ? 'unavailable' : 'platform-error',
  });
}

function unreachable(call: Call, verdict: Verdict, cause: Error): OutcomeError {
  return new OutcomeError(
    `platform ${call.method} failed: ${cause.message}`,
    { verdict, reason: 'unavailable' },
    { cause },
  );
}
