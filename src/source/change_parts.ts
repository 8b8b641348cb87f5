/** Splits a change that is too long for one value into shorter ones to be applied in order. */
import { type Change, type Resource } from '../contracts.js';
import { MAX_PART_BYTES } from './partition.js';

/** Splits `change` into changes that each fit into one value; returns them as JSON. */
export function splitChange(change: Change): string[] {
  const texts: string[] = [];
  let put: Resource[] = [];
  let remove: string[] = [];
  let bytes = 0;
  const endPart = () => {
    texts.push(JSON.stringify({ put, remove }));
    put = [];
    remove = [];
    bytes = 0;
  };
  const count = (value: unknown) => {
    const size = Buffer.byteLength(JSON.stringify(value));
    if (bytes > 0 && bytes + size > MAX_PART_BYTES) endPart();
    bytes += size;
  };
  for (const key of change.remove) {
    count(key);
    remove.push(key);
  }
  for (const resource of change.put) {
    count(resource);
    put.push(resource);
  }
  endPart();
  return texts;
}

/** Reverses `splitChange`. */
export function joinChanges(changes: readonly Change[]): Change {
  return {
    put: changes.flatMap((change) => change.put),
    remove: changes.flatMap((change) => change.remove),
  };
}
