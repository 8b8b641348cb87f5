import { mkdir, writeFile } from 'node:fs/promises';

/** Writes the result of an experiment to `bench/results/NAME.json`. */
export async function report(name: string, result: unknown): Promise<void> {
  await mkdir('bench/results', { recursive: true });
  await writeFile(`bench/results/${name}.json`, `${JSON.stringify(result, null, 2)}\n`);
}
