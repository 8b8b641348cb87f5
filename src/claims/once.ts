/** Runs a request with an `Idempotency-Key` under a claim, or replays the recorded outcome. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Readable } from 'node:stream';
import { asOutcome } from '../contracts.js';
import { type Claims } from './claims.js';
import { fingerprintOf, peekBody } from './fingerprint.js';
import { type HeldClaim } from './held_claim.js';
import { replayOutcome } from './outcome.js';

/** A request with an idempotency key, at the process beside the upstream. */
export interface OnceRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: string;
  readonly key: string;
  /** Time by which the request must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** Sends the request with this body to the upstream, and calls `claim.start()` right before. */
export type RunUnderClaim = (body: Readable, claim: HeldClaim) => Promise<void>;

/**
 * Acquires the claim, then runs the request. If the request did not run, the claim is released
 * before the caller gets the error, so that a retry is not refused because of it.
 */
export async function runOnce(
  claims: Claims,
  { request, response, route, key, deadline }: OnceRequest,
  run: RunUnderClaim,
): Promise<void> {
  const peeked = await peekBody(request);
  const fingerprint = fingerprintOf(request, peeked);
  const admission = await claims.admit({ route, key, fingerprint, deadline });
  if (admission.kind === 'replay') {
    replayOutcome(response, admission.outcome);
    return;
  }
  await using claim = admission.claim;
  try {
    await run(peeked.body, claim);
  } catch (error) {
    if (asOutcome(error).verdict === 'not-run') claim.release();
    throw error;
  }
}
