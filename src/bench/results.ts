/** Saved results of the benchmarks. */
import { mkdir, writeFile } from 'node:fs/promises';

/** The same folder whether the benchmark runs from `src/` or from `dist/`. */
export const RESULTS_FOLDER = new URL('../../bench/results/', import.meta.url);

/** Writes the result of an experiment to `bench/results/NAME.json`. */
export async function saveResult(name: string, result: unknown): Promise<void> {
  await mkdir(RESULTS_FOLDER, { recursive: true });
  await writeFile(new URL(`${name}.json`, RESULTS_FOLDER), `${JSON.stringify(result, null, 2)}\n`);
}
