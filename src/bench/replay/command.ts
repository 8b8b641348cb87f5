/** `replay PATTERN...`: compares rules on load patterns, several seeds in one run. */
import { table } from '../../tool/table.js';
import { readPattern } from './pattern.js';
import { POLICIES, replay, type Replayed } from './replay.js';

const SEEDS: readonly number[] = [1, 2, 3];
const EXIT_OK = 0;
const EXIT_FAILED = 1;

export async function replayCommand(files: readonly string[], json: boolean): Promise<number> {
  const results: Replayed[] = [];
  try {
    for (const file of files) {
      const pattern = await readPattern(file);
      for (const seed of SEEDS) {
        for (const policy of POLICIES) results.push(await replay(pattern, policy, seed));
      }
    }
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    return EXIT_FAILED;
  }
  console.log(json ? JSON.stringify(results) : render(results));
  return EXIT_OK;
}

function cell(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function render(results: readonly Replayed[]): string {
  const [first] = results;
  if (!first) return 'no pattern was named';
  const head = Object.keys(first);
  return table([head, ...results.map((result) => Object.values(result).map(cell))]).join('\n');
}
