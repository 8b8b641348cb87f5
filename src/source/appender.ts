/** Writes a record into the log and finds out whether it is there. */
import { OutcomeError, type VersionRecord } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Log } from './log.js';

/** Cap of the jittered wait between attempts to settle a lost answer, in milliseconds. */
const RETRY_CAP_MS = 200;

export class Appender {
  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Whether the record is in the log under its number; false if another one is. Throws
   * `OutcomeError`: `not-run` if it surely is not there, `may-have-run` if that cannot be found
   * out by the deadline.
   */
  async append(record: VersionRecord, deadline: number): Promise<boolean> {
    if (this.clock.now() >= deadline) {
      throw new OutcomeError('the deadline passed before anything was written', {
        verdict: 'not-run',
        reason: 'deadline',
      });
    }
    const fitting = await this.#fitting(record, deadline);
    try {
      return await this.log.append(fitting, deadline);
    } catch (error) {
      if (!(error instanceof OutcomeError) || error.verdict === 'not-run') throw error;
      return this.#settle(fitting, deadline);
    }
  }

  /** Parts alone put nothing in force: whatever becomes of them, the note was not accepted. */
  async #fitting(record: VersionRecord, deadline: number): Promise<VersionRecord> {
    try {
      return await this.log.fitting(record, deadline);
    } catch (error) {
      const message = 'the platform did not take the parts of the change';
      const props = { verdict: 'not-run', reason: 'unavailable' } as const;
      throw new OutcomeError(message, props, { cause: error });
    }
  }

  /**
   * An answer can be lost after the write took effect. A writer that gave up would deny a version
   * that every proxy applies, and one that wrote under the next number would apply it twice. The
   * number admits one record for good and the nonce says whose it is, so reading it back settles
   * the matter whenever the platform answers again.
   */
  async #settle(record: VersionRecord, deadline: number): Promise<boolean> {
    while (this.clock.now() < deadline) {
      try {
        const held = await this.log.get(record.version.number, deadline);
        if (held) return held.nonce === record.nonce;
        // Nothing there: the first write may still be on its way, so it is sent again under the
        // same number and nonce. Whichever arrives first is the one record.
        if (await this.log.append(record, deadline)) return true;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        const wake = this.clock.now() + this.random.jitter(RETRY_CAP_MS);
        await this.clock.sleepUntil(Math.min(wake, deadline));
      }
    }
    throw new OutcomeError(
      'the platform does not say whether the note was accepted; hand the same note in again',
      { verdict: 'may-have-run', reason: 'unsettled' },
    );
  }
}
