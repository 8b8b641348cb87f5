/** `replay PATTERN...`: compares policies on load patterns, with several seeds each. */
import { table } from '../../tool/table.js';
import { readPattern } from './pattern.js';
import { POLICIES, replay, type ReplayResult } from './replay.js';
import { TEAM_POLICIES } from './team_policies.js';

const SEEDS: readonly number[] = [1, 2, 3];
const EXIT_OK = 0;
const EXIT_FAILED = 1;

export async function replayCommand(files: readonly string[], json: boolean): Promise<number> {
  const results: ReplayResult[] = [];
  try {
    for (const file of files) {
      const pattern = await readPattern(file);
      const policies = pattern.teams.length > 0 ? TEAM_POLICIES : POLICIES;
      for (const seed of SEEDS) {
        for (const policy of policies) results.push(await replay(pattern, policy, seed));
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

function render(results: readonly ReplayResult[]): string {
  const [first] = results;
  if (!first) return 'no load pattern was given';
  const head = Object.keys(first);
  return table([head, ...results.map((result) => Object.values(result).map(cell))]).join('\n');
}
