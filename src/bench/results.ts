/** Results of the bench that commits and pages quote. */
import { mkdir, writeFile } from 'node:fs/promises';

/** Where they are kept, whether the bench runs from its sources or built. */
export const RESULTS = new URL('../../bench/results/', import.meta.url);

/** Writes the result of an experiment to `bench/results/NAME.json`. */
export async function keep(name: string, result: unknown): Promise<void> {
  await mkdir(RESULTS, { recursive: true });
  await writeFile(new URL(`${name}.json`, RESULTS), `${JSON.stringify(result, null, 2)}\n`);
}
