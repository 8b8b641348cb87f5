/** Storage of claims: one object per claim, or one object per key range. */
import { type Claim, OutcomeError } from '../contracts.js';

/**
 * When the answer to a write is lost, each method reads the claim back and compares nonces. It
 * throws an `OutcomeError` when the platform gave no definite answer by the deadline (milliseconds
 * since the epoch): `not-run` if nothing took effect, `may-have-run` if something may have.
 */
export abstract class ClaimStore {
  /** Creates the claim if there is none; resolves to the claim that is stored now. */
  abstract acquire(id: string, claim: Claim, deadline: number): Promise<Claim>;

  /** Records the outcome: replaces the stored claim if it has the same nonce. */
  abstract settle(id: string, claim: Claim, deadline: number): Promise<void>;

  /** Removes the claim if it has this nonce. */
  abstract release(id: string, nonce: string, deadline: number): Promise<void>;
}

/** The error of an operation that got no definite answer, or was refused before it was sent. */
export function unavailableError(inDoubt: boolean): OutcomeError {
  return new OutcomeError('the claim store is unavailable or gave no definite answer', {
    verdict: inDoubt ? 'may-have-run' : 'not-run',
    reason: 'store-unavailable',
  });
}
