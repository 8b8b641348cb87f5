/** Maps of bounded size that keep what was set last. */

/** Sets an entry as the latest; beyond `most` entries the one that was set longest ago goes. */
export function setLatest<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  most: number,
): void {
  // Reinserted, since a map keeps the order in which keys came first.
  map.delete(key);
  map.set(key, value);
  if (map.size <= most) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
