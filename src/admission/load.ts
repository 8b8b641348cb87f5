/** The load of a guard, which it reports in a header of its answers. */
export interface Load {
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** Average time that a job holds a slot, in milliseconds; 0 if unknown. */
  readonly heldMs: number;
  /** Time until the uplink has sent all large answers with a reservation, in milliseconds. */
  readonly leavingMs: number;
}

/** Integers: in flight, slots, waiting, `heldMs` and `leavingMs`; the last is optional. */
const LOAD_PATTERN = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7})(?:,(\d{1,7}))?$/;

export function formatLoad({ inFlight, slots, waiting, heldMs, leavingMs }: Load): string {
  return `${inFlight},${slots},${waiting},${heldMs},${leavingMs}`;
}

/** Returns undefined if the text is not a valid load. */
export function parseLoad(text: string | undefined): Load | undefined {
  const match = text === undefined ? null : LOAD_PATTERN.exec(text);
  if (!match) return undefined;
  const [, inFlight = 0, slots = 0, waiting = 0, heldMs = 0] = match.map(Number);
  return { inFlight, slots, waiting, heldMs, leavingMs: Number(match[5] ?? 0) };
}
