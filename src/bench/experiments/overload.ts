import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { countFaults, generateLoad, totalRuns } from '../load.js';
import { Program } from '../processes.js';
import { RequestPath } from '../request_path.js';

const SLOTS = 20;
const DELAY_MS = 50;
const OVERLOAD_FACTOR = 2;
const DURATION_MS = 10_000;
const TIMEOUT_MS = 500;
const MS_PER_SECOND = 1_000;

/** Goodput at twice the capacity of the upstreams, against a proxy without limit or backoff. */
export class Overload extends Experiment {
  readonly name = 'overload';

  override readonly defaultProcesses = 4;

  async run({ processes, progress }: Options): Promise<Result> {
    const upstreams = Math.max(1, Math.floor(processes / 2));
    await using path = await RequestPath.start(this.clock, {
      daemons: processes,
      upstreams,
      slots: SLOTS,
      delayMs: DELAY_MS,
      timeoutMs: TIMEOUT_MS,
    });
    const capacity = (upstreams * SLOTS * MS_PER_SECOND) / DELAY_MS;
    const offered = OVERLOAD_FACTOR * capacity;
    const shape = {
      path: '/suppers/seats',
      method: 'POST',
      callsPerSecond: offered,
      durationMs: DURATION_MS,
    };
    progress(`${offered} calls/s at a capacity of ${capacity} calls/s`);
    const ports = path.entries.map(({ program }) => program.ports.callerPort!);
    const result = await generateLoad(this.clock, { ...shape, ports, label: 'ours' });
    const runs = totalRuns(await path.runs());
    const goodput = (result.answered.size * MS_PER_SECOND) / DURATION_MS;
    progress('baseline');
    const baselineGoodput = await this.#baseline(upstreams, shape);
    return {
      offered,
      capacity,
      goodput: rounded(goodput, 1),
      baselineGoodput: rounded(baselineGoodput, 1),
      goodputShare: rounded(goodput / capacity, 3),
      p99Ms: rounded(result.times.percentile(99)),
      refusedNotRun: result.notRun.size,
      ...countFaults(result, runs),
      ...(result.unexpected.size > 0 && {
        causes: [...new Set(result.unexpected.values())].slice(0, 5),
      }),
    };
  }

  async #baseline(
    count: number,
    shape: { path: string; method: string; callsPerSecond: number; durationMs: number },
  ): Promise<number> {
    const args = ['suppers', 0, SLOTS, DELAY_MS].map(String);
    const upstreams = await Promise.all(
      Array.from({ length: count }, () => Program.start('bench/upstream_main', args)),
    );
    const targets = upstreams.map(({ ports }) => ports.port).join(',');
    await using proxy = await Program.start('bench/plain_proxy_main', [targets, `${TIMEOUT_MS}`]);
    const ports = [proxy.ports.callerPort!];
    const result = await generateLoad(this.clock, { ...shape, ports, label: 'baseline' });
    await Promise.all(upstreams.map((upstream) => upstream.kill()));
    return (result.answered.size * MS_PER_SECOND) / DURATION_MS;
  }
}
