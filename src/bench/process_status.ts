/** Reads from `/proc` what a process would do at a signal, and whether it runs its program yet. */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';

/**
 * Node reads about 250 KB from files before the first line of a program; the programs of the
 * platform's build then read their bundle and its code cache of 2 MB.
 */
const LEAST_READ_BYTES = 1_000_000;
const NS_PER_MS = 1_000_000;

/** Whether that signal would have its default effect now, because the process neither catches nor ignores it. */
export function hasDefaultEffect(pid: number, signal: NodeJS.Signals): boolean {
  const status = textOf(`/proc/${pid}/status`);
  const bit = 1n << BigInt(constants.signals[signal] - 1);
  const masks = [...status.matchAll(/^Sig(?:Cgt|Ign):\s*([0-9a-f]+)$/gm)];
  return masks.length > 0 && masks.every(([, mask]) => (BigInt(`0x${mask}`) & bit) === 0n);
}

/** Whether a process of the platform's build has not loaded its bundle yet, so that no port is open. */
export function isBeforeBundle(pid: number): boolean {
  const [, bytes] = /^rchar:\s*(\d+)$/m.exec(textOf(`/proc/${pid}/io`)) ?? [];
  return bytes !== undefined && Number(bytes) < LEAST_READ_BYTES;
}

/** How long the main thread has waited for a processor since its start, in milliseconds. */
export function waitedMs(pid: number): number {
  const [, waitedNs = '0'] = textOf(`/proc/${pid}/schedstat`).split(' ');
  return Number(waitedNs) / NS_PER_MS;
}

function textOf(path: string): string {
  try {
    // eslint-disable-next-line n/no-sync -- read at the moment of the signal
    return readFileSync(path, 'latin1');
  } catch {
    // The process has ended.
    return '';
  }
}
