/** Appends a record to the log and determines whether the write took effect. */
import { OutcomeError, type VersionRecord } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type VersionLog } from './log.js';

/** Upper bound of the jittered wait between attempts to resolve a lost answer, in milliseconds. */
const RETRY_CAP_MS = 200;

export class Appender {
  constructor(
    private readonly log: VersionLog,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Resolves to whether the record is in the log under its number; false if another one is. Throws
   * `OutcomeError`: `not-run` if the record is definitely not there, `may-have-run` if that cannot
   * be determined by the deadline.
   */
  async append(record: VersionRecord, deadline: number): Promise<boolean> {
    if (this.clock.now() >= deadline) {
      throw new OutcomeError('the deadline passed before anything was written', {
        verdict: 'not-run',
        reason: 'deadline',
      });
    }
    const prepared = await this.#splitLargeRecord(record, deadline);
    try {
      return await this.log.append(prepared, deadline);
    } catch (error) {
      if (!(error instanceof OutcomeError) || error.verdict === 'not-run') throw error;
      return this.#resolveLostAnswer(prepared, deadline);
    }
  }

  /** Parts without a record have no effect, so any failure here means the note was not accepted. */
  async #splitLargeRecord(record: VersionRecord, deadline: number): Promise<VersionRecord> {
    try {
      return await this.log.splitLargeRecord(record, deadline);
    } catch (error) {
      const message = 'the platform did not store the parts of the change';
      const props = { verdict: 'not-run', reason: 'unavailable' } as const;
      throw new OutcomeError(message, props, { cause: error });
    }
  }

  /**
   * The answer can be lost after the write took effect. A writer that gave up would deny a version
   * that every proxy applies, and one that wrote under the next number would apply it twice. A
   * number holds one record forever and the nonce identifies its writer, so reading the record back
   * gives the answer as soon as the platform is available again.
   */
  async #resolveLostAnswer(record: VersionRecord, deadline: number): Promise<boolean> {
    while (this.clock.now() < deadline) {
      try {
        const held = await this.log.get(record.version.number, deadline);
        if (held) return held.nonce === record.nonce;
        // No record yet: the first write may still arrive, so it is sent again under the same
        // number and nonce. Whichever arrives first creates the record.
        if (await this.log.append(record, deadline)) return true;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        const wake = this.clock.now() + this.random.jitter(RETRY_CAP_MS);
        await this.clock.sleepUntil(Math.min(wake, deadline));
      }
    }
    throw new OutcomeError(
      'no answer from the platform: the note may have been accepted; submit it again unchanged',
      { verdict: 'may-have-run', reason: 'unsettled' },
    );
  }
}
