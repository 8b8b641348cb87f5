/** Open-loop load: requests are sent at a fixed rate, whether or not earlier ones were answered. */
import { Agent } from 'node:http';
import { type Clock } from '../runtime/clock.js';
import { type HttpResponse, sendRequest } from './http_client.js';
import { LatencyHistogram } from './experiment.js';

export interface LoadOptions {
  readonly ports: readonly number[];
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly callsPerSecond: number;
  readonly durationMs: number;
  /** Histogram to record into; a new one when absent. */
  readonly times?: LatencyHistogram;
  /** Prefix of the request ids by which upstream instances count runs. */
  readonly label: string;
}

/** Result of each request, by its id. */
export interface LoadResult {
  readonly times: LatencyHistogram;
  /** Answered with status 200 and the id of the request. */
  readonly answered: ReadonlySet<string>;
  /** Refused with the verdict `not-run`. */
  readonly notRun: ReadonlySet<string>;
  /** Any other answer or error, by id. */
  readonly unexpected: ReadonlyMap<string, string>;
}

const MS_PER_SECOND = 1_000;

export async function generateLoad(clock: Clock, options: LoadOptions): Promise<LoadResult> {
  const { ports, callsPerSecond, durationMs, label } = options;
  const agent = new Agent({ keepAlive: true, scheduling: 'fifo' });
  const { times = new LatencyHistogram() } = options;
  const answered = new Set<string>();
  const notRun = new Set<string>();
  const unexpected = new Map<string, string>();
  const pending: Promise<void>[] = [];
  const send = async (id: string, port: number) => {
    const sentAt = clock.now();
    const headers = { ...options.headers, 'x-request': id };
    const { path, method = 'GET' } = options;
    try {
      const answer = await sendRequest({ port, path, method, headers, agent });
      if (isAnswerTo(answer, id)) {
        times.add(clock.now() - sentAt);
        answered.add(id);
      } else if (answer.headers['barleyhaven-verdict'] === 'not-run') notRun.add(id);
      else unexpected.set(id, `${answer.status} ${answer.headers['barleyhaven-reason']}`);
    } catch (error) {
      unexpected.set(id, String(error));
    }
  };
  const startedAt = clock.now();
  const total = Math.floor((callsPerSecond * durationMs) / MS_PER_SECOND);
  for (let count = 0; count < total; count++) {
    const dueAt = startedAt + (count * MS_PER_SECOND) / callsPerSecond;
    if (dueAt > clock.now()) await clock.sleepUntil(dueAt);
    pending.push(send(`${label}-${count}`, ports[count % ports.length]!));
  }
  await Promise.all(pending);
  agent.destroy();
  return { times, answered, notRun, unexpected };
}

function isAnswerTo({ status, headers, body }: HttpResponse, id: string): boolean {
  return status === 200 && headers['x-request'] === id && body.includes(id);
}

/** Sums up how often each id was run, over the counts of several upstream instances. */
export function totalRuns(
  runsByInstance: readonly Readonly<Record<string, number>>[],
): Map<string, number> {
  const total = new Map<string, number>();
  for (const runs of runsByInstance) {
    for (const [id, times] of Object.entries(runs)) total.set(id, (total.get(id) ?? 0) + times);
  }
  return total;
}

/**
 * Counts requests that were run more than once (`duplicated`), that were answered without being run
 * or not answered as expected (`lost`), and that were refused as `not-run` although they were run.
 */
export function countFaults(result: LoadResult, runs: ReadonlyMap<string, number>) {
  const duplicated = [...runs.values()].filter((times) => times > 1).length;
  const lost = [...result.answered].filter((id) => !runs.has(id)).length + result.unexpected.size;
  const falselyNotRun = [...result.notRun].filter((id) => runs.has(id)).length;
  return { duplicated, lost, falselyNotRun };
}
