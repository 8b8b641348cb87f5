/** What a guard has in hand, as it rides on its answers. */
export interface Load {
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** Average time that a piece of work holds a slot, in milliseconds; 0 if unknown. */
  readonly heldMs: number;
}

/** Four whole numbers: in flight, slots, waiting, time held. */
const FORM = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7})$/;

export function writeLoad({ inFlight, slots, waiting, heldMs }: Load): string {
  return `${inFlight},${slots},${waiting},${heldMs}`;
}

/** Undefined for anything that is not a load. */
export function readLoad(text: string | undefined): Load | undefined {
  const found = text === undefined ? null : FORM.exec(text);
  if (!found) return undefined;
  const [, inFlight, slots, waiting, heldMs] = found.map(Number);
  return { inFlight: inFlight!, slots: slots!, waiting: waiting!, heldMs: heldMs! };
}
