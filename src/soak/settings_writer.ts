/** Writes settings files anew, in the ways in which their writers do. */
import { readFile, rename, writeFile } from 'node:fs/promises';
import PQueue from 'p-queue';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { type Clock } from '../runtime/clock.js';

export const SETTINGS_CHANGES = ['in-place', 'half', 'unknown-field', 'rename'] as const;
export type SettingsChange = (typeof SETTINGS_CHANGES)[number];

/** A time, longer than planned, in which the file of a machine was incomplete; in ms since the epoch. */
export interface SettingsGap {
  readonly machine: string;
  readonly from: number;
  readonly until: number;
}

/** A process that starts reads the file again for a second. */
const LONG_GAP_MS = 900;

export class SettingsWriter {
  readonly gaps: SettingsGap[] = [];

  /** Changes of each file one after the other: two writers would leave a mixture of both. */
  readonly #changes: readonly PQueue[];

  private constructor(
    private readonly fleet: MeshFleet,
    private readonly texts: readonly string[],
    private readonly clock: Clock,
  ) {
    this.#changes = texts.map(() => new PQueue({ concurrency: 1 }));
  }

  static async open(fleet: MeshFleet, clock: Clock): Promise<SettingsWriter> {
    const texts = await Promise.all(fleet.settingsPaths.map((path) => readFile(path, 'utf8')));
    return new SettingsWriter(fleet, texts, clock);
  }

  /** Writes the file of a machine; `signal` is called while the file is incomplete, if it ever is, or after it. */
  async write(machine: number, change: SettingsChange, halfMs: number, signal = () => {}) {
    const [path, text] = [this.fleet.settingsPaths[machine]!, this.texts[machine]!];
    await this.#changes[machine]!.add(async () => {
      const from = this.clock.now();
      if (change === 'half') {
        await writeFile(path, text.slice(0, text.length / 2));
        signal();
        await this.clock.sleepUntil(this.clock.now() + halfMs);
      }
      const written = change === 'unknown-field' ? text.replace('{', '{"unknown":[1],') : text;
      await writeFile(change === 'rename' ? `${path}.new` : path, written);
      if (change === 'rename') await rename(`${path}.new`, path);
      if (change !== 'half') signal();
      const until = this.clock.now();
      const { name } = this.fleet.machines[machine]!;
      if (until - from > LONG_GAP_MS) this.gaps.push({ machine: name, from, until });
    });
  }
}
