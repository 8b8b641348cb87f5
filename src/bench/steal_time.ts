/** Share of CPU time that the hypervisor gave to other virtual machines during an experiment. */
import { readFile } from 'node:fs/promises';
import { rounded } from './experiment.js';

const STEAL_FIELD = 7;

interface Ticks {
  readonly total: number;
  readonly steal: number;
}

/** Latencies measured with much steal time say more about the host than about the code. */
export class StealTime {
  private constructor(private readonly before: Ticks) {}

  static async begin(): Promise<StealTime> {
    return new StealTime(await readTicks());
  }

  /** Percentage of the time of all CPUs since the start of the measurement. */
  async percent(): Promise<number> {
    const after = await readTicks();
    const all = after.total - this.before.total;
    return all === 0 ? 0 : rounded(((after.steal - this.before.steal) / all) * 100);
  }
}

async function readTicks(): Promise<Ticks> {
  const [line = ''] = (await readFile('/proc/stat', 'utf8')).split('\n');
  const fields = line.trim().split(/\s+/).slice(1).map(Number);
  return { total: fields.reduce((sum, value) => sum + value, 0), steal: fields[STEAL_FIELD] ?? 0 };
}
