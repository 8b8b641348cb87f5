/** The process beside an upstream instance: all work for that instance passes here. */
import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { type Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { type Endpoint, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Claims } from './claims.js';
import { exchange } from './exchange.js';
import { openBody } from './fingerprint.js';
import { type Flights } from './flights.js';
import {
  CLAIM,
  endToEnd,
  IDEMPOTENCY_KEY,
  INTERNAL_PREFIX,
  PRIORITY,
  REMAINING,
  RETRIED,
  UPSTREAM,
  VERDICT,
} from './headers.js';
import { type HeldClaim } from './held_claim.js';
import { Limit } from './limit.js';
import { runOnce } from './once.js';
import { relayAndKeep } from './outcome.js';
import { type Quarantine } from './quarantine.js';
import { asOutcome, refuse } from './refusal.js';
import { headFingerprint, wholeFingerprint } from './request_fingerprint.js';

/** The upstream instance beside this process, as it last announced itself. */
export interface Announced extends Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Connections to the upstream instance at most; it takes about 100 from everybody. */
const MAX_CONNECTIONS = 64;
const FIRST_SERVER_ERROR = 500;
const DEFAULT_SLOTS = 20;
const DEFAULT_WAITING = 100;
const DEFAULT_REMAINING_MS = 10_000;

export class Guard implements AsyncDisposable {
  readonly server: Server;

  readonly limit: Limit;

  announced: Announced | undefined;

  /** Set before the first request; without it requests with a key are refused. */
  claims: Claims | undefined;

  /** Set before the first request; without them no death is looked into. */
  flights: Flights | undefined;

  quarantine: Quarantine | undefined;

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
      const body = await this.#checked(announced.upstream, request);
      const remaining = Number(request.headers[REMAINING] ?? DEFAULT_REMAINING_MS);
      const deadline = this.clock.now() + remaining;
      const priority = Number(request.headers[PRIORITY] ?? 0);
      const run = (content: Readable, claim?: HeldClaim) =>
        this.limit.run(priority, deadline, () =>
          this.#watched(announced, request, response, deadline, content, claim),
        );
      const route = request.headers[CLAIM];
      if (route === undefined) await run(body);
      else await this.#once(request, response, String(route), deadline, run);
    } catch (error) {
      refuse(response, asOutcome(error), this.clock.now());
    }
  }

  /** The body, still whole, of a request that is not quarantined. */
  async #checked(upstream: string, request: IncomingMessage): Promise<Readable> {
    const { quarantine } = this;
    if (!quarantine || quarantine.isIdle) return request;
    const head = headFingerprint(upstream, request);
    quarantine.check(head);
    if (!quarantine.needsBody(head)) return request;
    const { prefix, body } = await openBody(request);
    quarantine.check(wholeFingerprint(head, prefix));
    return body;
  }

  async #once(
    request: IncomingMessage,
    response: ServerResponse,
    route: string,
    deadline: number,
    run: (body: Readable, claim: HeldClaim) => Promise<void>,
  ): Promise<void> {
    if (!this.claims) {
      const props = { verdict: 'not-run', reason: 'store-unavailable' } as const;
      throw new OutcomeError('this process cannot make claims', props);
    }
    const key = String(request.headers[IDEMPOTENCY_KEY]);
    await runOnce(this.claims, { request, response, route, key, deadline }, run);
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

  /** Forwards, and looks into the death of the upstream instance if that is why it breaks. */
  async #watched(
    announced: Announced,
    request: IncomingMessage,
    response: ServerResponse,
    deadline: number,
    body: Readable,
    claim?: HeldClaim,
  ): Promise<void> {
    const { upstream } = announced;
    const flight = this.flights?.begin(upstream, request, body);
    try {
      await this.#forward(announced, request, response, deadline, body, claim);
      if (flight && response.statusCode < FIRST_SERVER_ERROR) this.flights?.answered(flight);
    } catch (error) {
      const isHandedOver = asOutcome(error).verdict !== 'not-run';
      if (flight && isHandedOver) this.flights?.broke(flight, upstream, announced);
      throw error;
    }
  }

  async #forward(
    { host, port }: Announced,
    request: IncomingMessage,
    response: ServerResponse,
    deadline: number,
    body: Readable,
    claim?: HeldClaim,
  ): Promise<void> {
    const gone = new AbortController();
    // The end of a claimed request is awaited even when its caller has gone: it will ask again.
    if (!claim) response.once('close', () => gone.abort());
    claim?.start();
    const answer = await exchange(
      {
        agent: this.#agent,
        host,
        port,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: outward(request),
        body,
        deadline,
        cancelled: gone.signal,
      },
      this.clock,
    );
    const headers = endToEnd(answer.headers, false);
    response.writeHead(answer.statusCode ?? 502, {
      ...headers,
      [VERDICT]: 'ran',
      ...(answer.headers[RETRIED] !== undefined && { [RETRIED]: '1' }),
    });
    // An upstream cannot speak for barleyhaven: its own verdict headers were dropped above.
    if (claim) claim.settle(await relayAndKeep(answer, response));
    else await pipeline(answer, response);
  }
}

function outward(request: IncomingMessage): Record<string, string | string[]> {
  const headers = endToEnd(request.headers, true);
  const remaining = headers[REMAINING];
  for (const name of Object.keys(headers)) {
    if (name.startsWith(INTERNAL_PREFIX) && name !== RETRIED) delete headers[name];
  }
  return remaining === undefined ? headers : { ...headers, 'request-timeout-ms': remaining };
}
