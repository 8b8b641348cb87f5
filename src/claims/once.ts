/** Runs a request with an `Idempotency-Key` under a claim, or answers it without a run. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Readable } from 'node:stream';
import { asOutcome } from '../contracts.js';
import { type Claims } from './claims.js';
import { fingerprintOf, openBody } from './fingerprint.js';
import { type HeldClaim } from './held_claim.js';
import { replay } from './outcome.js';

/** A request with a key at the process beside the upstream. */
export interface OnceRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: string;
  readonly key: string;
  /** Instant by which it must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** Sends the request with that body to the upstream; calls `start` on the claim just before. */
export type ClaimedRun = (body: Readable, claim: HeldClaim) => Promise<void>;

/**
 * Claims first, runs then. A claim whose request turns out not to have run is given back before
 * the refusal goes out, so that whoever retries it is not refused by it.
 */
export async function runOnce(
  claims: Claims,
  { request, response, route, key, deadline }: OnceRequest,
  run: ClaimedRun,
): Promise<void> {
  const opening = await openBody(request);
  const fingerprint = fingerprintOf(request, opening);
  const admission = await claims.admit({ route, key, fingerprint, deadline });
  if (admission.kind === 'replay') {
    replay(response, admission.outcome);
    return;
  }
  await using claim = admission.claim;
  try {
    await run(opening.body, claim);
  } catch (error) {
    if (asOutcome(error).verdict === 'not-run') claim.release();
    throw error;
  }
}
