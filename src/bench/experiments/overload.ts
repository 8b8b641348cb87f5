import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { faults, load, totalRuns } from '../load.js';
import { Program } from '../processes.js';
import { RequestPath } from '../request_path.js';

const SLOTS = 20;
const DELAY_MS = 50;
const TIMES_CAPACITY = 2;
const FOR_MS = 10_000;
const TIMEOUT_MS = 500;
const MS_PER_SECOND = 1_000;

/** Calls at twice what the upstream instances can run, against no limit and plain retries. */
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
    const offered = TIMES_CAPACITY * capacity;
    const shape = {
      path: '/suppers/seats',
      method: 'POST',
      callsPerSecond: offered,
      forMs: FOR_MS,
    };
    progress(`${offered} calls/s over ${capacity}`);
    const ports = path.entries.map(({ program }) => program.ports.callerPort!);
    const own = await load(this.clock, { ...shape, ports, label: 'ours' });
    const runs = totalRuns(await path.runs());
    const goodput = (own.answered.size * MS_PER_SECOND) / FOR_MS;
    progress('the baseline');
    const baselineGoodput = await this.#baseline(upstreams, shape);
    return {
      offered,
      capacity,
      goodput: rounded(goodput, 1),
      baselineGoodput: rounded(baselineGoodput, 1),
      goodputShare: rounded(goodput / capacity, 3),
      p99Ms: rounded(own.times.at(99)),
      refusedNotRun: own.notRun.size,
      ...faults(own, runs),
      ...(own.others.size > 0 && { causes: [...new Set(own.others.values())].slice(0, 5) }),
    };
  }

  async #baseline(
    count: number,
    shape: { path: string; method: string; callsPerSecond: number; forMs: number },
  ): Promise<number> {
    const args = ['suppers', 0, SLOTS, DELAY_MS].map(String);
    const upstreams = await Promise.all(
      Array.from({ length: count }, () => Program.start('bench/upstream_main', args)),
    );
    const targets = upstreams.map(({ ports }) => ports.port).join(',');
    await using proxy = await Program.start('bench/plain_proxy_main', [targets, `${TIMEOUT_MS}`]);
    const ports = [proxy.ports.callerPort!];
    const outcome = await load(this.clock, { ...shape, ports, label: 'baseline' });
    await Promise.all(upstreams.map((upstream) => upstream.kill()));
    return (outcome.answered.size * MS_PER_SECOND) / FOR_MS;
  }
}
