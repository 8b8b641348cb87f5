/** Writes settings files anew, in the ways in which their writers do. */
import { readFile, rename, writeFile } from 'node:fs/promises';
import PQueue from 'p-queue';
import { type Clock } from '../runtime/clock.js';

export const SETTINGS_CHANGES = ['in-place', 'half', 'unknown-field', 'rename'] as const;
export type SettingsChange = (typeof SETTINGS_CHANGES)[number];

export class SettingsWriter {
  /** Changes one after the other: two writers of a file would leave a mixture of both. */
  readonly #changes = new PQueue({ concurrency: 1 });

  private constructor(
    private readonly paths: readonly string[],
    private readonly texts: readonly string[],
    private readonly clock: Clock,
  ) {}

  static async open(paths: readonly string[], clock: Clock): Promise<SettingsWriter> {
    const texts = await Promise.all(paths.map((path) => readFile(path, 'utf8')));
    return new SettingsWriter(paths, texts, clock);
  }

  /** Writes the file of a machine; `signal` is called while the file is incomplete, if it ever is, or after it. */
  async write(machine: number, change: SettingsChange, halfMs: number, signal: () => void) {
    const [path, text] = [this.paths[machine]!, this.texts[machine]!];
    await this.#changes.add(async () => {
      if (change === 'half') {
        await writeFile(path, text.slice(0, text.length / 2));
        signal();
        await this.clock.sleepUntil(this.clock.now() + halfMs);
      }
      const written = change === 'unknown-field' ? text.replace('{', '{"unknown":[1],') : text;
      await writeFile(change === 'rename' ? `${path}.new` : path, written);
      if (change === 'rename') await rename(`${path}.new`, path);
      if (change !== 'half') signal();
    });
  }
}
