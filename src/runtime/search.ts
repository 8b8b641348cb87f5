/** Binary search. */

/**
 * The first index of a sorted list of `length` items for which `isAtOrAfter` holds; `length` if
 * there is none.
 *
 * @example
 * ```ts
 * firstIndex(keys.length, (index) => keys[index]! >= key);
 * ```
 */
export function firstIndex(length: number, isAtOrAfter: (index: number) => boolean): number {
  let low = 0;
  let high = length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (isAtOrAfter(middle)) high = middle;
    else low = middle + 1;
  }
  return low;
}
