/** The right of this process to run one request, once. */
import { type Claim, type Outcome, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** What becomes of the claim in the platform. */
interface Ending {
  readonly settle: (settled: Claim) => void;
  /** Removes it; resolves when it is gone, or some time later. */
  readonly release: () => Promise<void>;
  /** Leaves it there without an outcome. */
  readonly abandon: () => void;
}

/**
 * Ends in exactly one way: settled with an outcome, released as proven not to have run, or left
 * behind because the end is not known. Disposal ends what nobody else did, and waits for a release:
 * a caller who is told `not-run` first would come back at once and be refused by its own claim.
 */
export class HeldClaim implements AsyncDisposable {
  #claim: Claim;

  #isStarted = false;

  #isEnded = false;

  #released: Promise<void> | undefined;

  constructor(
    claim: Claim,
    private readonly clock: Clock,
    private readonly ending: Ending,
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
   * Called right before the request is handed to the upstream. A process that was paused since it
   * made the claim may wake when the claim has expired and another one has run the request; a
   * second run would charge twice. Claims are removed an hour after `runBy` at the earliest, so
   * whoever starts before `runBy` still holds it. Throws `not-run`.
   */
  start(): void {
    if (this.#isStarted) throw new Error('a claim starts one run only');
    if (this.#isEnded || this.clock.now() >= this.#claim.runBy) {
      this.release();
      const props = { verdict: 'not-run', reason: 'deadline' } as const;
      throw new OutcomeError('the claim lapsed before the request could run', props);
    }
    this.#isStarted = true;
  }

  /** Records how the request ended. */
  settle(outcome: Outcome): void {
    if (!this.#end()) return;
    this.#claim = { ...this.#claim, outcome };
    this.ending.settle(this.#claim);
  }

  /** Gives the claim back: the request is proven not to have run, and a retry may run it. */
  release(): void {
    if (!this.#end()) return;
    this.#released = this.ending.release();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.#isStarted) this.release();
    else if (this.#end()) this.ending.abandon();
    await this.#released;
  }

  #end(): boolean {
    const isFirst = !this.#isEnded;
    this.#isEnded = true;
    return isFirst;
  }
}
