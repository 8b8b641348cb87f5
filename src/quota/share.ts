/** Parts of a quota. A process that holds a share s may mint s of the rate, up to s of the capacity. */

/** Shares in messages are whole millionths. */
const UNITS = 1_000_000;

/** Maximum time for which leases and lent tokens of an answer are valid, in milliseconds. */
export const SHARE_MS = 4_000;

/** A share for the message, rounded down so that rounding never adds up to more than the quota. */
export function toUnits(share: number): number {
  return Math.max(0, Math.floor(share * UNITS));
}

/** As `toUnits` for a share that is not free yet, which is rounded up. */
export function toUnitsInUse(share: number): number {
  return Math.max(0, Math.ceil(share * UNITS));
}

export function fromUnits(units: number): number {
  return units / UNITS;
}
