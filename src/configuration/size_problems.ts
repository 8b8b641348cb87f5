/** Limits of size that acceptance sets to a configuration. */
import { type Problem } from '../contracts.js';
import { type Configuration } from './configuration.js';

/** Maximum number of resources that proxies are sized for. */
export const MAX_RESOURCES = 20_000;

/**
 * Maximum size of a resource, in bytes of canonical JSON; far below the limit of a stored value.
 */
export const MAX_RESOURCE_BYTES = 32_000;

/**
 * Maximum size of a configuration, in bytes of canonical JSON, that fits into the memory of
 * proxies.
 */
export const MAX_CONFIGURATION_BYTES = 8_000_000;

/** The limits that the configuration exceeds; it may only be accepted if there are none. */
export function sizeProblems(configuration: Configuration): Problem[] {
  const oversized = configuration.oversized(MAX_RESOURCE_BYTES).map(oversizeProblem);
  return [...oversized, ...limitProblems(configuration)];
}

function oversizeProblem(path: string): Problem {
  return { path, message: `is longer than the ${MAX_RESOURCE_BYTES} bytes allowed` };
}

function limitProblems({ size, bytes }: Configuration): Problem[] {
  const problems: Problem[] = [];
  const check = (amount: number, unit: string, limit: number) => {
    if (amount <= limit) return;
    const message = `holds ${amount} ${unit}, at most ${limit} are allowed`;
    problems.push({ path: 'configuration', message });
  };
  check(size, 'resources', MAX_RESOURCES);
  check(bytes, 'bytes', MAX_CONFIGURATION_BYTES);
  return problems;
}
