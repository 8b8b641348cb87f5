/** At most once: what lies in the platform for a request with an `Idempotency-Key`. */
import * as z from 'zod';

/** How a request ended, as it is told to whoever repeats it. */
export const Outcome = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  /** The whole body in base64; absent if it was too large to keep. */
  body: z.string().optional(),
});
export type Outcome = z.infer<typeof Outcome>;

/** The right to run a request, held by one process; kept on to answer repeats. */
export const Claim = z.strictObject({
  /** Drawn by the holder; tells its own claim from a rival's after a lost answer. */
  nonce: z.string(),
  /** Digest of the request: the same key with another request is refused. */
  fingerprint: z.string(),
  /** Instance that holds it. */
  holder: z.string(),
  /** Instant past which the holder must not start, on its own clock. */
  runBy: z.number(),
  /** Instant from which it may be removed. */
  expiresAt: z.number(),
  /** Absent while the request runs, and for good if its end was never learnt. */
  outcome: Outcome.optional(),
});
export type Claim = z.infer<typeof Claim>;

/** Claims of one range of keys by id, gathered into one value. */
export const ClaimPage = z.strictObject({ claims: z.record(z.string(), Claim) });
export type ClaimPage = z.infer<typeof ClaimPage>;
