/** How much processor time a machine's host kept for others while an experiment ran. */
import { readFile } from 'node:fs/promises';
import { rounded } from './experiment.js';

const STOLEN_FIELD = 7;

interface Ticks {
  readonly all: number;
  readonly stolen: number;
}

/** Latencies of a run with much stolen time say more about the host than about the code. */
export class StolenTime {
  private constructor(private readonly before: Ticks) {}

  static async begin(): Promise<StolenTime> {
    return new StolenTime(await ticks());
  }

  /** Share since the beginning, of all processors' time. */
  async percent(): Promise<number> {
    const after = await ticks();
    const all = after.all - this.before.all;
    return all === 0 ? 0 : rounded(((after.stolen - this.before.stolen) / all) * 100);
  }
}

async function ticks(): Promise<Ticks> {
  const [line = ''] = (await readFile('/proc/stat', 'utf8')).split('\n');
  const fields = line.trim().split(/\s+/).slice(1).map(Number);
  return { all: fields.reduce((sum, value) => sum + value, 0), stolen: fields[STOLEN_FIELD] ?? 0 };
}
