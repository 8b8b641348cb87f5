import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { MeshFleet } from '../mesh_fleet.js';
import { Experiment, type Options, type Result } from '../experiment.js';
import { Soak } from '../../soak/soak.js';

const DATA_CENTRES = 3;
const SECONDS = 20;
const BUSY = 4;
const ANSWER_BYTES = 2_000;

/**
 * Processes of the platform's build that end though nobody asked them to, and requests that they
 * or planned stops cut, while faults are played on them from the seed.
 */
export class Ends extends Experiment {
  readonly name = 'ends';

  override readonly defaultProcesses = 12;

  async run(options: Options): Promise<Result> {
    const { processes, seed, seconds = SECONDS, busy = BUSY, progress } = options;
    await using fleet = await MeshFleet.start(this.clock, {
      processes,
      dataCentres: DATA_CENTRES,
      services: ['listings', 'bookings', 'host-files'],
      routes: 6,
      delayMs: 0,
      bytes: ANSWER_BYTES,
    });
    const soak = new Soak(fleet, { seed, seconds, busy }, this.clock, progress);
    const verdict = await soak.run();
    if (verdict.failures.length > 0) await this.#keepLogs(fleet, seed);
    return { seed, processes, seconds, busy, ...verdict };
  }

  async #keepLogs({ logs }: MeshFleet, seed: number): Promise<void> {
    const folder = `target/soak/seed-${seed}`;
    await mkdir(folder, { recursive: true });
    for (const [name, lines] of logs)
      await writeFile(join(folder, `${name}.log`), lines.join('\n'));
  }
}
