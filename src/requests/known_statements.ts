/** What upstream instances have stated about themselves in answers to callers of this process. */
import { type IncomingMessage } from 'node:http';
import { type Load } from '../admission/load.js';
import { setBounded } from '../runtime/bounded_map.js';
import { headerOf, KNOWN_LEAVING, KNOWN_RATE, LEAVING, RUN } from './headers.js';

/** One per endpoint; several times the design size. */
const MAX_ENDPOINTS = 4_096;

interface Statement {
  /** The run of the instance as a header value; absent if it announces no id. */
  readonly run: string | undefined;
  /** Requests per second that it takes; absent without a limit. */
  readonly perSecond: number | undefined;
  readonly isLeaving: boolean;
}

/**
 * A process that is replaced beside an instance has not heard what the instance stated before, but
 * entries that have passed it on are bound by it. So an entry hands it over with each further request,
 * and the process applies it if the run of the instance is still the same. The statistics of endpoints
 * cannot hold it: they end when the process beside the endpoint does.
 */
export class KnownStatements {
  /** By the name of the process beside the instance. */
  readonly #statements = new Map<string, Statement>();

  /** Records what the guard beside an instance reports in an answer or a refusal. */
  record(instance: string, answer: IncomingMessage, load: Load | undefined): void {
    const run = headerOf(answer, RUN);
    const before = this.#statements.get(instance);
    const wasLeaving = before !== undefined && before.isLeaving && before.run === run;
    const isLeaving = headerOf(answer, LEAVING) !== undefined || wasLeaving;
    const perSecond = load?.rate?.perSecond;
    if (perSecond !== undefined || isLeaving) {
      setBounded(this.#statements, instance, { run, perSecond, isLeaving }, MAX_ENDPOINTS);
    } else if (load && before && !before.isLeaving) this.#statements.delete(instance);
  }

  /** Headers for the guard beside an instance, as alternating names and values. */
  headersFor(instance: string): string[] {
    const statement = this.#statements.get(instance);
    if (!statement) return [];
    const { run, perSecond, isLeaving } = statement;
    const headers = run === undefined ? [] : [RUN, run];
    if (perSecond !== undefined) headers.push(KNOWN_RATE, String(perSecond));
    if (isLeaving) headers.push(KNOWN_LEAVING, '1');
    return headers;
  }
}
