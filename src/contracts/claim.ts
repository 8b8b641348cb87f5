/**
 * Claims, stored in the platform, that make a request with an `Idempotency-Key` run at most once.
 */
import * as z from 'zod';

/** The response to a request, as it is replayed for repeats of the request. */
export const Outcome = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  /** The whole body in base64; absent if it was too large to store. */
  body: z.string().optional(),
});
export type Outcome = z.infer<typeof Outcome>;

/** The right of one process to run a request; kept afterwards to answer repeats. */
export const Claim = z.strictObject({
  /**
   * Random value chosen by the holder; distinguishes its claim from another process's after a lost
   * answer.
   */
  nonce: z.string(),
  /** Digest of the request; the same key with a different request is refused. */
  fingerprint: z.string(),
  /** Instance that holds the claim. */
  holder: z.string(),
  /** Instant after which the holder must not start the request, on its own clock. */
  runBy: z.number(),
  /** Instant from which the claim may be removed. */
  expiresAt: z.number(),
  /** Absent while the request runs, and permanently if its outcome never became known. */
  outcome: Outcome.optional(),
});
export type Claim = z.infer<typeof Claim>;

/** Claims of one range of keys, by id, stored as one value. */
export const ClaimPage = z.strictObject({ claims: z.record(z.string(), Claim) });
export type ClaimPage = z.infer<typeof ClaimPage>;
