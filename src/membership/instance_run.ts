/** One run of an upstream instance: what distinguishes it from a later one at the same address. */
import { type Drain } from '../contracts.js';

/** Identified by the id that the instance gives itself and its start time, which may be unknown. */
export type InstanceRun = Pick<Drain, 'id' | 'born'>;

/** Whether both may be the same run: a start time that is unknown counts as matching. */
export function isSameRun(
  one: Readonly<{ id?: string | undefined; born?: number | undefined }>,
  other: Readonly<{ id?: string | undefined; born?: number | undefined }>,
): boolean {
  if (one.id !== other.id) return false;
  return one.born === undefined || other.born === undefined || one.born === other.born;
}

/** The run as a header value; the id is encoded, since an instance may choose any text. */
export function formatRun({ id, born }: { id: string; born?: number | undefined }): string {
  // Encoding throws for a surrogate without its other half, which UTF-8 cannot hold.
  return `${encodeURIComponent(Buffer.from(id).toString())},${born ?? ''}`;
}

/** Returns undefined if the text is not a valid run. */
export function parseRun(text: string | undefined): InstanceRun | undefined {
  const match = /^([^,]+),(\d{0,16})$/.exec(text ?? '');
  if (!match) return undefined;
  const [, encodedId = '', born = ''] = match;
  try {
    const id = decodeURIComponent(encodedId);
    return born === '' ? { id } : { id, born: Number(born) };
  } catch {
    return undefined;
  }
}
