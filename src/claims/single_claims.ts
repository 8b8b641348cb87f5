/** One object per claim: a claim costs a create, an update for its outcome, and a removal. */
import { Claim, OutcomeError } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { ClaimStore, unsettled } from './claim_store.js';

export const CLAIM_PREFIX = 'claims/';
/** Cap of the jittered wait before a call is tried again, in milliseconds. */
const RETRY_CAP_MS = 50;

export function claimKey(id: string): string {
  return `${CLAIM_PREFIX}${id}`;
}

export function parseClaim(stored: Stored): Claim {
  return Claim.parse(JSON.parse(stored.value));
}

export class SingleClaims extends ClaimStore {
  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
  }

  async acquire(id: string, claim: Claim, deadline: number): Promise<Claim> {
    const key = claimKey(id);
    const value = JSON.stringify(claim);
    return this.#until(deadline, async () => {
      if (await this.platform.create(key, value, deadline)) return claim;
      const held = await this.platform.get(key, deadline);
      return held && parseClaim(held);
    });
  }

  async settle(id: string, claim: Claim, deadline: number): Promise<void> {
    const value = JSON.stringify(claim);
    await this.#replace(id, claim.nonce, deadline, async (held) => {
      if (held.value === value) return true;
      return (await this.platform.update(held.key, value, held.revision, deadline)) !== undefined;
    });
  }

  async release(id: string, nonce: string, deadline: number): Promise<void> {
    await this.#replace(id, nonce, deadline, (held) =>
      this.platform.remove(held.key, held.revision, deadline),
    );
  }

  /** Changes the claim with that nonce; done as well when there is none any more. */
  async #replace(
    id: string,
    nonce: string,
    deadline: number,
    change: (held: Stored) => Promise<boolean>,
  ): Promise<void> {
    await this.#until(deadline, async () => {
      const held = await this.platform.get(claimKey(id), deadline);
      if (!held || parseClaim(held).nonce !== nonce) return true;
      return (await change(held)) || undefined;
    });
  }

  /**
   * Repeats `step` until it gives a result. A step whose answer was lost is simply run again: it
   * reads what is there, so a write that did take effect is recognised by its nonce.
   */
  async #until<T>(deadline: number, step: () => Promise<T | undefined>): Promise<T> {
    let inDoubt = false;
    for (;;) {
      try {
        const result = await step();
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        inDoubt ||= error.verdict !== 'not-run';
        // The platform is away. Nothing is to be settled, so whoever asks is told at once.
        if (!inDoubt) throw unsettled(false);
      }
      const retryAt = this.clock.now() + this.random.jitter(RETRY_CAP_MS);
      if (retryAt >= deadline) throw unsettled(inDoubt);
      await this.clock.sleepUntil(retryAt);
    }
  }
}
