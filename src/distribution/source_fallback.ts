/** Reads the source when the peers bring this process no versions. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type ReadDelegation } from './read_delegation.js';
import { type ReaderRole } from './reader_role.js';
import { type Replica } from './replica.js';

/** How long this process goes on reading, in milliseconds. */
const READ_MS = 1_500;
/** Timeout of the first read, in milliseconds; a large object on a narrow link takes most of it. */
const READ_TIMEOUT_MS = 1_500;
/** First and highest cap of the jittered wait after a read that brought no version, in milliseconds. */
const INITIAL_RETRY_CAP_MS = 1_000;
const MAX_RETRY_CAP_MS = 30_000;

/** `cut-off`: no peer is heard of; `stalled`: peers hold a later version and do not send it. */
export type FallbackReason = 'cut-off' | 'stalled';

/**
 * What a process sends may be lost while it hears everything, so it knows of a version and gets no answer
 * to its pulls; or it hears nobody at all. Its peers notice only once the links are closed, and until then
 * it would go on with an old version although it reaches the source.
 */
export class SourceFallback {
  #isReading = false;

  #failures = 0;

  #retryAt = 0;

  /** Called with the reason when this process begins to read. */
  onReading: (reason: FallbackReason) => void = () => {};

  constructor(
    private readonly delegation: ReadDelegation,
    private readonly role: ReaderRole,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    replica.onApplied(() => this.#reset());
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
    const now = this.clock.now();
    if (this.#isReading || now < this.#retryAt) return;
    this.#isReading = true;
    if (!this.role.isReader) this.onReading(reason);
    const reachesSource = await this.delegation.readInPlace(READ_MS, now + READ_TIMEOUT_MS);
    this.#isReading = false;
    if (!hasHelped(reachesSource)) this.#backOff();
  }

  #reset(): void {
    this.#failures = 0;
    this.#retryAt = 0;
  }

  #backOff(): void {
    const wait = this.random.backoff(this.#failures, INITIAL_RETRY_CAP_MS, MAX_RETRY_CAP_MS);
    this.#failures += 1;
    this.#retryAt = this.clock.now() + wait;
  }
}
