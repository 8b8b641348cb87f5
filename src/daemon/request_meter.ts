/** Counts what becomes of the requests of one server, whoever ends them. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
// The package's entry also loads its log formats and a compiled variant, which a start would pay for.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import { REASON, VERDICT } from '../requests/headers.js';
import { type Clock } from '../runtime/clock.js';

/** How requests ended. */
export interface Ending {
  /** `ran`, `not-run`, `may-have-run`, or `cut` when the connection went before the end. */
  readonly verdict: string;
  /** Stable name of the cause of a refusal; `none` for answers. */
  readonly reason: string;
}

const STEPS_PER_MS = 1_000;
const HIGHEST_MS = 600_000;
const LOWEST = 1;
/** Significant digits of a value. */
const DIGITS = 2;
const COUNTER_BITS = 32;
const Counters = constructorFromBucketSize(COUNTER_BITS);

export class RequestMeter {
  /** Times from the request's head to the answer's end; answers only, in microseconds. */
  readonly latency = new Counters(LOWEST, HIGHEST_MS * STEPS_PER_MS, DIGITS);

  readonly #counts = new Map<string, { readonly ending: Ending; count: number }>();

  #inFlight = 0;

  constructor(
    server: Server,
    private readonly clock: Clock,
  ) {
    this.latency.autoResize = true;
    server.on('request', (_: IncomingMessage, response: ServerResponse) => this.#enter(response));
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** How many requests ended in which way. */
  get endings(): readonly { readonly ending: Ending; readonly count: number }[] {
    return [...this.#counts.values()];
  }

  #enter(response: ServerResponse): void {
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
        this.latency.recordValue(Math.round((this.clock.now() - startedAt) * STEPS_PER_MS));
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
