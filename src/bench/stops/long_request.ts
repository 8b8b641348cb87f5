/** Requests that a stop of their process need not wait for. */
import { type CallRecord } from './caller.js';
import { GRACE_MS } from './stop_series.js';

/** A request may be cut if it was sent this early in a stop and was still worked on at its end. */
const EXCUSED_SENT_MS = 3_000;
const EXCUSED_WORK_MS = (GRACE_MS * 5) / 6;

/** Whether a stop from `signalledAt` on may cut a request that is worked on until `workEndsAt`. */
export function isLongAtStop(call: CallRecord, workEndsAt: number, signalledAt: number): boolean {
  const isEarly = call.sentAt < signalledAt + EXCUSED_SENT_MS;
  return isEarly && workEndsAt > signalledAt + EXCUSED_WORK_MS;
}
