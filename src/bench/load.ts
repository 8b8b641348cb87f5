/** Open-loop load: requests leave at their own pace, whether or not earlier ones were answered. */
import { Agent } from 'node:http';
import { type Clock } from '../runtime/clock.js';
import { type Answer, ask } from './caller.js';
import { Times } from './experiment.js';

export interface LoadOptions {
  readonly ports: readonly number[];
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly callsPerSecond: number;
  readonly forMs: number;
  /** Where the times go; a set of its own when absent. */
  readonly times?: Times;
  /** Prefix of the ids under which the upstreams count what they run. */
  readonly label: string;
}

/** What became of each request, by id. */
export interface Outcome {
  readonly times: Times;
  /** Answered with 200 and the own id. */
  readonly answered: ReadonlySet<string>;
  /** Refused with the verdict `not-run`. */
  readonly notRun: ReadonlySet<string>;
  /** Anything else, by id. */
  readonly others: ReadonlyMap<string, string>;
}

const MS_PER_SECOND = 1_000;

export async function load(clock: Clock, options: LoadOptions): Promise<Outcome> {
  const { ports, callsPerSecond, forMs, label } = options;
  const agent = new Agent({ keepAlive: true, scheduling: 'fifo' });
  const { times = new Times() } = options;
  const answered = new Set<string>();
  const notRun = new Set<string>();
  const others = new Map<string, string>();
  const pending: Promise<void>[] = [];
  const send = async (id: string, port: number) => {
    const sentAt = clock.now();
    const headers = { ...options.headers, 'x-request': id };
    const { path, method = 'GET' } = options;
    try {
      const answer = await ask({ port, path, method, headers, agent });
      if (isOwn(answer, id)) {
        times.add(clock.now() - sentAt);
        answered.add(id);
      } else if (answer.headers['barleyhaven-verdict'] === 'not-run') notRun.add(id);
      else others.set(id, `${answer.status} ${answer.headers['barleyhaven-reason']}`);
    } catch (error) {
      others.set(id, String(error));
    }
  };
  const startedAt = clock.now();
  const total = Math.floor((callsPerSecond * forMs) / MS_PER_SECOND);
  for (let count = 0; count < total; count++) {
    const dueAt = startedAt + (count * MS_PER_SECOND) / callsPerSecond;
    if (dueAt > clock.now()) await clock.sleepUntil(dueAt);
    pending.push(send(`${label}-${count}`, ports[count % ports.length]!));
  }
  await Promise.all(pending);
  agent.destroy();
  return { times, answered, notRun, others };
}

function isOwn({ status, headers, body }: Answer, id: string): boolean {
  return status === 200 && headers['x-request'] === id && body.includes(id);
}

/** Adds up how often each id was run, over what several upstream instances tell. */
export function totalRuns(
  tellings: readonly Readonly<Record<string, number>>[],
): Map<string, number> {
  const total = new Map<string, number>();
  for (const runs of tellings) {
    for (const [id, times] of Object.entries(runs)) total.set(id, (total.get(id) ?? 0) + times);
  }
  return total;
}

/** Requests that were run twice, answered without a run, or refused as not run though they were. */
export function faults(outcome: Outcome, runs: ReadonlyMap<string, number>) {
  const duplicated = [...runs.values()].filter((times) => times > 1).length;
  const lost = [...outcome.answered].filter((id) => !runs.has(id)).length + outcome.others.size;
  const falselyNotRun = [...outcome.notRun].filter((id) => runs.has(id)).length;
  return { duplicated, lost, falselyNotRun };
}
