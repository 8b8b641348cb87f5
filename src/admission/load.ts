/** What a guard has in hand, as it rides on its answers. */
export interface Load {
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** Average time that a piece of work holds a slot, in milliseconds; 0 if unknown. */
  readonly heldMs: number;
  /** Time until all heavy answers that are promised have left by the link, in milliseconds. */
  readonly leavingMs: number;
}

/** Whole numbers: in flight, slots, waiting, time held, time to leave; the last may be missing. */
const FORM = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7})(?:,(\d{1,7}))?$/;

export function writeLoad({ inFlight, slots, waiting, heldMs, leavingMs }: Load): string {
  return `${inFlight},${slots},${waiting},${heldMs},${leavingMs}`;
}

/** Undefined for anything that is not a load. */
export function readLoad(text: string | undefined): Load | undefined {
  const found = text === undefined ? null : FORM.exec(text);
  if (!found) return undefined;
  const [, inFlight = 0, slots = 0, waiting = 0, heldMs = 0] = found.map(Number);
  return { inFlight, slots, waiting, heldMs, leavingMs: Number(found[5] ?? 0) };
}
