/** Counts the requests of one HTTP server by how they end, and measures latency. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
// The main module of the package also loads its log formats and a compiled variant: a slower start.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import { REASON, VERDICT } from '../requests/headers.js';
import { type Clock } from '../runtime/clock.js';

/** How requests ended. */
export interface Ending {
  /** `ran`, `not-run`, `may-have-run`, or `cut` if the connection closed before the response ended. */
  readonly verdict: string;
  /** Stable name of the cause of a refusal; `none` for other responses. */
  readonly reason: string;
}

const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_MS = 600_000;
const MIN_LATENCY = 1;
const SIGNIFICANT_DIGITS = 2;
const COUNTER_BITS = 32;
const Counters = constructorFromBucketSize(COUNTER_BITS);

export class RequestMeter {
  /** Time from the request's head to the response's end, in microseconds; refusals are left out. */
  readonly latency = new Counters(
    MIN_LATENCY,
    MAX_LATENCY_MS * MICROSECONDS_PER_MS,
    SIGNIFICANT_DIGITS,
  );

  readonly #counts = new Map<string, { readonly ending: Ending; count: number }>();

  #inFlight = 0;

  constructor(
    server: Server,
    private readonly clock: Clock,
  ) {
    this.latency.autoResize = true;
    server.on('request', (_: IncomingMessage, response: ServerResponse) => this.#track(response));
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of requests for each combination of verdict and reason. */
  get endings(): readonly { readonly ending: Ending; readonly count: number }[] {
    return [...this.#counts.values()];
  }

  #track(response: ServerResponse): void {
    const startedAt = this.clock.now();
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
      if (!response.writableFinished) {
        this.#count('cut', 'none');
        return;
      }
      const reason = response.getHeader(REASON);
      this.#count(String(response.getHeader(VERDICT) ?? 'ran'), String(reason ?? 'none'));
      if (reason === undefined) {
        this.latency.recordValue(Math.round((this.clock.now() - startedAt) * MICROSECONDS_PER_MS));
      }
    });
  }

  #count(verdict: string, reason: string): void {
    const key = `${verdict} ${reason}`;
    const counted = this.#counts.get(key);
    if (counted) counted.count += 1;
    else this.#counts.set(key, { ending: { verdict, reason }, count: 1 });
  }
}
