/** Changes that are too long for one value, as several shorter ones that do the same in order. */
import { type Change, type Resource } from '../contracts.js';
import { MAX_PART_BYTES } from './partition.js';

/** The texts of changes that together make up `change`; each fits into one value. */
export function splitChange(change: Change): string[] {
  const texts: string[] = [];
  let put: Resource[] = [];
  let remove: string[] = [];
  let bytes = 0;
  const finish = () => {
    texts.push(JSON.stringify({ put, remove }));
    put = [];
    remove = [];
    bytes = 0;
  };
  const count = (value: unknown) => {
    const size = Buffer.byteLength(JSON.stringify(value));
    if (bytes > 0 && bytes + size > MAX_PART_BYTES) finish();
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
  finish();
  return texts;
}

export function joinChanges(changes: readonly Change[]): Change {
  return {
    put: changes.flatMap((change) => change.put),
    remove: changes.flatMap((change) => change.remove),
  };
}
