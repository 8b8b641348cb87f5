/** Reads the source when the peers bring this process no versions. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { ReadAttempts } from './read_attempts.js';
import { type ReadDelegation } from './read_delegation.js';
import { type ReaderRole } from './reader_role.js';
import { type Replica } from './replica.js';

/** Highest cap of the jittered wait after a read that did not help, in milliseconds. */
const MAX_RETRY_CAP_MS = 30_000;

/** `cut-off`: no peer is heard of; `stalled`: peers hold a later version and do not send it. */
export type FallbackReason = 'cut-off' | 'stalled';

/**
 * What a process sends may be lost while it hears everything, so it knows of a version and gets no answer
 * to its pulls; or it hears nobody at all. Its peers notice only once the links are closed, and until then
 * it would go on with an old version although it reaches the source.
 */
export class SourceFallback {
  readonly #attempts: ReadAttempts;

  /** Called with the reason when this process begins to read. */
  onReading: (reason: FallbackReason) => void = () => {};

  constructor(
    delegation: ReadDelegation,
    private readonly role: ReaderRole,
    private readonly replica: Replica,
    clock: Clock,
    random: Random,
  ) {
    this.#attempts = new ReadAttempts(delegation, clock, random, MAX_RETRY_CAP_MS);
    replica.onApplied(() => this.#attempts.reset());
  }

  /** Reads for a while if the source is reached; call it again as long as nobody is heard. */
  async readWhileCutOff(): Promise<void> {
    await this.#read('cut-off', (reachesSource) => reachesSource);
  }

  /**
   * Reads the versions that peers hold and do not send. A process that refuses these would read over and
   * over, so a read that brings no version counts as a failure.
   */
  async readMissing(): Promise<void> {
    const before = this.replica.current.number;
    await this.#read('stalled', () => this.replica.current.number > before);
  }

  async #read(
    reason: FallbackReason,
    hasHelped: (reachesSource: boolean) => boolean,
  ): Promise<void> {
    if (!this.#attempts.isDue) return;
    if (!this.role.isReader) this.onReading(reason);
    const reachesSource = await this.#attempts.read();
    if (!hasHelped(reachesSource)) this.#attempts.recordFailure();
  }
}
