/** The process beside an upstream instance: all work for that instance passes here. */
import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { pipeline } from 'node:stream/promises';
import { type Endpoint, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { exchange } from './exchange.js';
import {
  endToEnd,
  INTERNAL_PREFIX,
  PRIORITY,
  REASON,
  REMAINING,
  UPSTREAM,
  VERDICT,
} from './headers.js';
import { Limit } from './limit.js';
import { asOutcome, refuse } from './refusal.js';

/** The upstream instance beside this process, as it last announced itself. */
export interface Announced extends Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Connections to the upstream instance at most; it takes about 100 from everybody. */
const MAX_CONNECTIONS = 64;
const DEFAULT_SLOTS = 20;
const DEFAULT_WAITING = 100;
const DEFAULT_REMAINING_MS = 10_000;

export class Guard implements AsyncDisposable {
  readonly server: Server;

  readonly limit: Limit;

  announced: Announced | undefined;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });

  constructor(private readonly clock: Clock) {
    this.limit = new Limit(clock, DEFAULT_SLOTS, DEFAULT_WAITING);
    this.server = createServer((request, response) => void this.#serve(request, response));
  }

  /** Takes over what the upstream instance says of itself. */
  announce(announced: Announced): void {
    this.announced = announced;
    this.limit.slots = announced.slots;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
    this.#agent.destroy();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const announced = this.#admitting(String(request.headers[UPSTREAM]));
      const remaining = Number(request.headers[REMAINING] ?? DEFAULT_REMAINING_MS);
      const deadline = this.clock.now() + remaining;
      const priority = Number(request.headers[PRIORITY] ?? 0);
      await this.limit.run(priority, deadline, () =>
        this.#forward(announced, request, response, deadline),
      );
    } catch (error) {
      refuse(response, asOutcome(error), this.clock.now());
    }
  }

  #admitting(upstream: string): Announced {
    const { announced } = this;
    if (announced?.upstream !== upstream || announced.state === 'down') {
      const props = { verdict: 'not-run', reason: 'no-endpoint' } as const;
      throw new OutcomeError(`${upstream} is not served here`, props);
    }
    if (announced.state === 'draining') {
      const props = { verdict: 'not-run', reason: 'draining' } as const;
      throw new OutcomeError(`${upstream} is leaving`, props);
    }
    return announced;
  }

  async #forward(
    { host, port }: Announced,
    request: IncomingMessage,
    response: ServerResponse,
    deadline: number,
  ): Promise<void> {
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const answer = await exchange(
      {
        agent: this.#agent,
        host,
        port,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: outward(request),
        body: request,
        deadline,
        cancelled: gone.signal,
      },
      this.clock,
    );
    const headers = endToEnd(answer.headers, false);
    response.writeHead(answer.statusCode ?? 502, { ...headers, [VERDICT]: 'ran' });
    // An upstream cannot speak for barleyhaven: its own verdict headers were dropped above.
    await pipeline(answer, response);
  }
}

function outward(request: IncomingMessage): Record<string, string | string[]> {
  const headers = endToEnd(request.headers, true);
  const remaining = headers[REMAINING];
  for (const name of Object.keys(headers)) {
    if (name.startsWith(INTERNAL_PREFIX) && name !== REASON) delete headers[name];
  }
  return remaining === undefined ? headers : { ...headers, 'request-timeout-ms': remaining };
}
