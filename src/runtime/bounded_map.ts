/** Maps of bounded size. */

/** Sets an entry; beyond `maxSize` entries, deletes the least recently set one. */
export function setBounded<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxSize: number,
): void {
  // Deleted first, because setting an existing key would keep its old place in the order.
  map.delete(key);
  map.set(key, value);
  if (map.size <= maxSize) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
