/** Takes requests from callers and brings each to a process beside an upstream. */
import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { pipeline } from 'node:stream/promises';
import { type Configuration } from '../configuration/configuration.js';
import { type Member, OutcomeError, type Route } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Balancer } from './balancer.js';
import { exchange } from './exchange.js';
import {
  CALLER_TIMEOUT,
  endToEnd,
  IDEMPOTENCY_KEY,
  PRIORITY,
  REASON,
  REMAINING,
  REQUEST_ID,
  UPSTREAM,
  VERDICT,
} from './headers.js';
import { asOutcome, refuse } from './refusal.js';
import { routeOf, type Target } from './router.js';

const MAX_ATTEMPTS = 3;
const MAX_SOCKETS_PER_GUARD = 64;

/** The request's own view of where it goes; it keeps the version it began with. */
interface Journey {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly deadline: number;
  readonly gone: AbortSignal;
}

export class Entry implements AsyncDisposable {
  readonly server: Server;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_GUARD });

  constructor(
    private readonly configuration: () => Configuration,
    private readonly isReady: () => boolean,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.server = createServer((request, response) => void this.#serve(request, response));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
    this.#agent.destroy();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#carry(this.#plan(request, response));
    } catch (error) {
      refuse(response, asOutcome(error), this.clock.now());
    }
  }

  #plan(request: IncomingMessage, response: ServerResponse): Journey {
    if (!this.isReady()) throw notRun('not-ready', 'this process holds no configuration yet');
    const route = routeOf(this.configuration(), targetOf(request));
    if (!route) throw notRun('no-route', `no route for ${request.method} ${request.url}`);
    if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
      throw notRun('key-required', 'this route insists on an Idempotency-Key');
    }
    const asked = Number(request.headers[CALLER_TIMEOUT] ?? route.timeoutMs);
    const timeoutMs = Math.min(route.timeoutMs, asked > 0 ? asked : route.timeoutMs);
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const deadline = this.clock.now() + timeoutMs;
    return { request, response, route, deadline, gone: gone.signal };
  }

  async #carry(journey: Journey): Promise<void> {
    const tried = new Set<string>();
    for (;;) {
      const member = this.balancer.choose(journey.route.upstream, tried);
      if (!member) throw notRun('no-endpoint', `nobody serves ${journey.route.upstream}`);
      tried.add(member.instance);
      try {
        await this.#attempt(journey, member);
        return;
      } catch (error) {
        const outcome = asOutcome(error);
        const bodyUntouched = !journey.request.readableDidRead;
        const again = outcome.verdict === 'not-run' && bodyUntouched && tried.size < MAX_ATTEMPTS;
        if (!again || journey.response.headersSent) throw outcome;
      }
    }
  }

  async #attempt(journey: Journey, member: Member): Promise<void> {
    const { request, response, deadline, gone } = journey;
    const startedAt = this.clock.now();
    let tookMs: number | undefined;
    this.balancer.begin(member.instance);
    try {
      const answer = await exchange(
        {
          agent: this.#agent,
          host: member.host,
          port: member.guardPort,
          method: request.method ?? 'GET',
          path: request.url ?? '/',
          headers: this.#inward(journey),
          body: hasBody(request) ? request : undefined,
          deadline,
          cancelled: gone,
        },
        this.clock,
      );
      tookMs = this.clock.now() - startedAt;
      if (answer.headers[VERDICT] === 'not-run') throw await refusedBy(answer);
      response.writeHead(answer.statusCode ?? 502, endToEnd(answer.headers, true));
      await pipeline(answer, response);
    } finally {
      this.balancer.end(member.instance, tookMs);
    }
  }

  #inward({ request, route, deadline }: Journey): Record<string, string | string[]> {
    return {
      ...endToEnd(request.headers, false),
      [UPSTREAM]: route.upstream,
      [REQUEST_ID]: this.random.nonce(),
      [REMAINING]: String(Math.max(1, Math.floor(deadline - this.clock.now()))),
      [PRIORITY]: String(route.priority),
    };
  }
}

function targetOf(request: IncomingMessage): Target {
  const { method = 'GET', url = '/', headers } = request;
  const [path = '/'] = url.split('?', 1);
  return { method, path, headers, host: (headers.host ?? '').replace(/:\d+$/, '') };
}

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function notRun(reason: string, message: string): OutcomeError {
  return new OutcomeError(message, { verdict: 'not-run', reason });
}

async function refusedBy(answer: IncomingMessage): Promise<OutcomeError> {
  answer.resume();
  const reason = String(answer.headers[REASON] ?? 'refused');
  return notRun(reason, `refused by the process beside the upstream: ${reason}`);
}
