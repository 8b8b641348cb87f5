/** The platform's object API over HTTP. */
import { type Clock } from '../runtime/clock.js';
import { OutcomeError } from '../contracts.js';
import {
  type Changes,
  HISTORY_GONE,
  keyParts,
  type Listing,
  Platform,
  type KeyRange,
  type Stored,
} from './platform.js';
import { type StoreResponse, StoreConnection } from './store_connection.js';
import { parseChanges, parseObject, parsePage } from './store_objects.js';

const STATUS_OK = 200;
const STATUS_CREATED = 201;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
/** Time allowed for the answer to a watch beyond the wait itself, in milliseconds. */
const WATCH_GRACE_MS = 1_000;
/** Longest wait that the store allows for a watch, in milliseconds. */
const MAX_WAIT_MS = 30_000;

/**
 * Keys are `kind/name`. A value is stored as the `spec` of the object: as JSON if it is valid JSON,
 * and as a string otherwise.
 *
 * @example
 * ```ts
 * await using platform = new HttpPlatform(new URL('http://127.0.0.1:8627'), clock);
 * await platform.create('directory/arima', '{"members":[]}', clock.now() + 1_000);
 * ```
 */
export class HttpPlatform extends Platform implements AsyncDisposable {
  readonly #connection: StoreConnection;

  constructor(
    base: URL,
    private readonly clock: Clock,
  ) {
    super();
    this.#connection = new StoreConnection(base, clock, this.meter);
  }

  async get(key: string, deadline: number): Promise<Stored | undefined> {
    const { kind } = keyParts(key);
    const answer = await this.#connection.call({ method: 'GET', path: objectPath(key), deadline });
    return answer.status === STATUS_NOT_FOUND ? undefined : parseObject(kind, bodyOf(answer));
  }

  async list(range: KeyRange, deadline: number): Promise<Stored[]> {
    const { kind } = keyParts(range.prefix);
    const found: Stored[] = [];
    const { limit = Infinity } = range;
    for await (const page of this.#pages(kind, startNameOf(range), deadline)) {
      found.push(...page.objects.filter(({ key }) => key.startsWith(range.prefix)));
      const isPast = page.objects.some(({ key }) => key > range.prefix && !hasPrefix(key, range));
      if (found.length >= limit || isPast) break;
    }
    return found.slice(0, limit);
  }

  async listKind(kind: string, deadline: number): Promise<Listing> {
    const objects: Stored[] = [];
    // The revision of the first page: changes made while later pages were read are then seen again.
    let asOf: number | undefined;
    for await (const page of this.#pages(kind, undefined, deadline)) {
      objects.push(...page.objects);
      asOf ??= page.asOf;
    }
    return { objects, asOf: asOf ?? 0 };
  }

  async waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    const remainingMs = Math.max(0, Math.round(deadline - this.clock.now()));
    const waitMs = Math.min(remainingMs, MAX_WAIT_MS);
    const path = `${kindPath(kind)}?watch=${asOf}&waitMs=${waitMs}`;
    const until = this.clock.now() + waitMs + WATCH_GRACE_MS;
    const call = { method: 'GET', path, deadline: until, ...(signal && { signal }) };
    const answer = await this.#connection.call(call);
    if (answer.status === STATUS_GONE) {
      const props = { verdict: 'not-run', reason: HISTORY_GONE } as const;
      throw new OutcomeError(`the store no longer holds the changes since revision ${asOf}`, props);
    }
    return parseChanges(kind, bodyOf(answer));
  }

  async watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    const { kind } = keyParts(range.prefix);
    let { asOf } = await this.listKind(kind, deadline);
    for (;;) {
      const found = await this.list(range, deadline);
      if (found.length > 0 || signal?.aborted || this.clock.now() >= deadline) return found;
      try {
        ({ asOf } = await this.waitForChanges(kind, asOf, deadline, signal));
      } catch (error) {
        if (signal?.aborted) return [];
        throw error;
      }
    }
  }

  async create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    const { kind, name } = keyParts(key);
    const body = JSON.stringify({ metadata: { name }, spec: specOf(value) });
    return this.#write(kind, { method: 'POST', path: kindPath(kind), body, deadline });
  }

  async update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    const { kind, name } = keyParts(key);
    const body = JSON.stringify({ metadata: { name, revision }, spec: specOf(value) });
    return this.#write(kind, { method: 'PUT', path: objectPath(key), body, deadline });
  }

  async updateStatus(
    key: string,
    status: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    const { kind, name } = keyParts(key);
    const body = `{"metadata":${JSON.stringify({ name, revision })},"status":${status}}`;
    const path = `${objectPath(key)}/status`;
    return this.#write(kind, { method: 'PUT', path, body, deadline });
  }

  async remove(key: string, revision: number, deadline: number): Promise<boolean> {
    const path = `${objectPath(key)}?revision=${revision}`;
    const answer = await this.#connection.call({ method: 'DELETE', path, deadline });
    if (answer.status === STATUS_CONFLICT || answer.status === STATUS_NOT_FOUND) return false;
    bodyOf(answer);
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#connection[Symbol.asyncDispose]();
  }

  async *#pages(kind: string, from: string | undefined, deadline: number) {
    let after = from;
    for (;;) {
      const query = after === undefined ? '' : `?after=${encodeURIComponent(after)}`;
      const path = kindPath(kind) + query;
      const page = parsePage(
        kind,
        bodyOf(await this.#connection.call({ method: 'GET', path, deadline })),
      );
      yield page;
      const last = page.objects.at(-1);
      if (!page.hasMore || !last) return;
      after = keyParts(last.key).name;
    }
  }

  async #write(
    kind: string,
    call: { method: string; path: string; body: string; deadline: number },
  ): Promise<Stored | undefined> {
    const answer = await this.#connection.call(call);
    const isConflict = answer.status === STATUS_CONFLICT || answer.status === STATUS_NOT_FOUND;
    return isConflict ? undefined : parseObject(kind, bodyOf(answer));
  }
}

function kindPath(kind: string): string {
  return `/api/objects/${encodeURIComponent(kind)}`;
}

function objectPath(key: string): string {
  const { kind, name } = keyParts(key);
  return `${kindPath(kind)}/${encodeURIComponent(name)}`;
}

function hasPrefix(key: string, { prefix }: KeyRange): boolean {
  return key.startsWith(prefix);
}

/** The name after which a listing of the range starts, so that it reads no page needlessly. */
function startNameOf({ prefix, after }: KeyRange): string | undefined {
  const from = after !== undefined && after > prefix ? after : prefix;
  const { name } = keyParts(from);
  return name === '' ? undefined : name;
}

/** Values that are JSON are stored as such, to be readable in the store; others as strings. */
function specOf(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}

function bodyOf({ status, body }: StoreResponse): unknown {
  if (status === STATUS_OK || status === STATUS_CREATED) return JSON.parse(body);
  // If the store refuses a call, nothing was done; after other failures that is unknown.
  const isRefused = status === 503 || (status >= 400 && status < 500);
  throw new OutcomeError(`the store answered ${status}: ${body.slice(0, 200)}`, {
    verdict: isRefused ? 'not-run' : 'may-have-run',
    reason: isRefused ? 'unavailable' : 'platform-error',
  });
}
