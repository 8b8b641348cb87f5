/** Logs the faults of the program that end no more than the task in which they occur. */
import { type Log } from '../logs/log.js';
import { type Clock } from '../runtime/clock.js';
import { faultCounts, onFault } from '../runtime/faults.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { endOf } from './last_line.js';

/** Most lines per place: a fault that repeats must not fill the log. */
const LINES_PER_SECOND = 0.1;
const LINE_BURST = 5;
/** Characters of a stack that are logged: the line has to fit into one write. */
const MAX_STACK_LENGTH = 2_000;

/** Logs faults until disposed. Each line has the number of faults at its place, for those without a line. */
export function logFaults(log: Log, clock: Clock): Disposable {
  const lines = new Map<string, TokenBucket>();
  return onFault((place, error) => {
    const bucket = lines.get(place) ?? new TokenBucket(clock, LINES_PER_SECOND, LINE_BURST);
    lines.set(place, bucket);
    if (!bucket.take()) return;
    const { message, stack } = endOf(place, error);
    log.record('warn', {
      event: 'fault',
      place,
      count: faultCounts().get(place) ?? 0,
      message,
      stack: stack.slice(0, MAX_STACK_LENGTH),
    });
  });
}
