/** The right of this process to run one request, once. */
import { type Claim, type Outcome, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Called once when the claim ends, to update the platform. */
interface EndHandlers {
  readonly settle: (settled: Claim) => void;
  /** Removes the claim; resolves when it is removed, or after a timeout. */
  readonly release: () => Promise<void>;
  /** Leaves the claim in the platform without an outcome. */
  readonly abandon: () => void;
}

/**
 * Ends in exactly one way: settled with an outcome, released because the request provably did not
 * run, or abandoned because the outcome is unknown. Disposal ends a claim that has not ended yet,
 * and waits for its release: a caller that is told `not-run` before that would retry at once and be
 * refused because of its own claim.
 */
export class HeldClaim implements AsyncDisposable {
  #claim: Claim;

  #isStarted = false;

  #isEnded = false;

  #released: Promise<void> | undefined;

  constructor(
    claim: Claim,
    private readonly clock: Clock,
    private readonly handlers: EndHandlers,
  ) {
    this.#claim = claim;
  }

  get claim(): Claim {
    return this.#claim;
  }

  get isReleased(): boolean {
    return this.#released !== undefined;
  }

  /**
   * Called right before the request is sent to the upstream. Throws `not-run` if `runBy` has passed
   * or the claim has ended. A process that was paused after it created the claim may resume when
   * the claim has expired and another process has run the request; a second run would charge the
   * customer twice. Claims are removed an hour after `runBy` at the earliest, so a process that
   * starts before `runBy` still holds its claim.
   */
  start(): void {
    if (this.#isStarted) throw new Error('the claim was started before; it allows one run');
    if (this.#isEnded || this.clock.now() >= this.#claim.runBy) {
      this.release();
      const props = { verdict: 'not-run', reason: 'deadline' } as const;
      throw new OutcomeError(
        'the claim ended or its deadline passed before the request could run',
        props,
      );
    }
    this.#isStarted = true;
  }

  /** Records how the request ended. */
  settle(outcome: Outcome): void {
    if (!this.#end()) return;
    this.#claim = { ...this.#claim, outcome };
    this.handlers.settle(this.#claim);
  }

  /** Removes the claim: the request provably did not run, so a repeat may run it. */
  release(): void {
    if (!this.#end()) return;
    this.#released = this.handlers.release();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.#isStarted) this.release();
    else if (this.#end()) this.handlers.abandon();
    await this.#released;
  }

  #end(): boolean {
    const isFirst = !this.#isEnded;
    this.#isEnded = true;
    return isFirst;
  }
}
