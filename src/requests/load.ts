/** What a guard has in hand, as it rides on its answers. */
export interface Load {
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
}

/** Three whole numbers: in flight, slots, waiting. */
const FORM = /^(\d{1,6}),(\d{1,6}),(\d{1,6})$/;

export function writeLoad({ inFlight, slots, waiting }: Load): string {
  return `${inFlight},${slots},${waiting}`;
}

/** Undefined for anything that is not a load. */
export function readLoad(text: string | undefined): Load | undefined {
  const found = text === undefined ? null : FORM.exec(text);
  if (!found) return undefined;
  const [, inFlight, slots, waiting] = found;
  return { inFlight: Number(inFlight), slots: Number(slots), waiting: Number(waiting) };
}
