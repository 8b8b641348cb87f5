/** The role of a process that is the only reader of its fleet. */
import { ReaderRole } from '../distribution/reader_role.js';
import { type Clock } from '../runtime/clock.js';

export function soleReader(clock: Clock): ReaderRole {
  const ranking = { isReader: true, readerIndex: 0, readerPhase: 0 };
  return new ReaderRole(ranking, clock);
}
