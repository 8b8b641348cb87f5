/** Stores one object per claim: it costs a create, an update for its outcome, and a removal. */
import { Claim, OutcomeError } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { ClaimStore, unavailableError } from './claim_store.js';

export const CLAIM_PREFIX = 'claims/';
/** Upper bound of the jittered wait before a retry, in milliseconds. */
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
    return this.#retryUntil(deadline, async () => {
      if (await this.platform.create(key, value, deadline)) return claim;
      const held = await this.platform.get(key, deadline);
      return held && parseClaim(held);
    });
  }

  async settle(id: string, claim: Claim, deadline: number): Promise<void> {
    const value = JSON.stringify(claim);
    await this.#changeHeld(id, claim.nonce, deadline, async (held) => {
      if (held.value === value) return true;
      return (await this.platform.update(held.key, value, held.revision, deadline)) !== undefined;
    });
  }

  async release(id: string, nonce: string, deadline: number): Promise<void> {
    await this.#changeHeld(id, nonce, deadline, (held) =>
      this.platform.remove(held.key, held.revision, deadline),
    );
  }

  /** Applies `change` to the claim if it has this nonce; resolves as well if there is none. */
  async #changeHeld(
    id: string,
    nonce: string,
    deadline: number,
    change: (held: Stored) => Promise<boolean>,
  ): Promise<void> {
    await this.#retryUntil(deadline, async () => {
      const held = await this.platform.get(claimKey(id), deadline);
      if (!held || parseClaim(held).nonce !== nonce) return true;
      return (await change(held)) || undefined;
    });
  }

  /**
   * Repeats `step` until it returns a result. A step whose answer was lost is run again: it reads
   * the stored claim, so a write that took effect is recognised by its nonce.
   */
  async #retryUntil<T>(deadline: number, step: () => Promise<T | undefined>): Promise<T> {
    let inDoubt = false;
    for (;;) {
      try {
        const result = await step();
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        inDoubt ||= error.verdict !== 'not-run';
        // The platform is unavailable and no write is in doubt, so this fails without a retry.
        if (!inDoubt) throw unavailableError(false);
      }
      const retryAt = this.clock.now() + this.random.jitter(RETRY_CAP_MS);
      if (retryAt >= deadline) throw unavailableError(inDoubt);
      await this.clock.sleepUntil(retryAt);
    }
  }
}
