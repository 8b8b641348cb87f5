/** Where claims lie: a single claim per object, or those of a key range gathered. */
import { type Claim, OutcomeError } from '../contracts.js';

/**
 * Every call settles lost answers by reading back and comparing nonces. It throws an
 * `OutcomeError` when the platform gave no certain answer by the deadline (milliseconds since the
 * epoch): `not-run` if nothing took effect, `may-have-run` if something may have.
 */
export abstract class ClaimStore {
  /** Puts the claim there if there is none; resolves to the one that is there now. */
  abstract acquire(id: string, claim: Claim, deadline: number): Promise<Claim>;

  /** Replaces the claim that has the same nonce, to record its outcome. */
  abstract settle(id: string, claim: Claim, deadline: number): Promise<void>;

  /** Removes the claim with that nonce; one with another nonce stays. */
  abstract release(id: string, nonce: string, deadline: number): Promise<void>;
}

/** The error of a call that the platform did not answer for certain by its deadline. */
export function unsettled(inDoubt: boolean): OutcomeError {
  return new OutcomeError('no certain answer from the platform', {
    verdict: inDoubt ? 'may-have-run' : 'not-run',
    reason: 'store-unavailable',
  });
}
