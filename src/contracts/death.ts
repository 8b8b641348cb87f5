/** Messages about upstream instances that crashed, and the requests suspected of crashing them. */
import * as z from 'zod';

/**
 * Maximum number of requests in flight reported for a death; an upstream instance has about 20
 * slots.
 */
export const MAX_SUSPECTS = 32;
/**
 * Maximum number of deaths, and of clearances, in one message; bounds a message to about 300 KB.
 */
export const MAX_BULLETIN_ITEMS = 128;

/** Digest of the properties that identify a request; does not reveal the request. */
const Fingerprint = z.string().max(80);

/** An upstream instance died with requests in flight. */
export const Death = z.strictObject({
  /** Random id chosen by the process next to the instance; prevents counting a death twice. */
  id: z.string().max(64),
  upstream: z.string(),
  suspects: z.array(Fingerprint).max(MAX_SUSPECTS),
  /** Age in milliseconds; an instant would be misread where clocks differ. */
  ageMs: z.number().min(0),
});
export type Death = z.infer<typeof Death>;

/** A request was answered successfully, so it did not cause earlier deaths. */
export const Clearance = z.strictObject({ fingerprint: Fingerprint, ageMs: z.number().min(0) });
export type Clearance = z.infer<typeof Clearance>;

export const Bulletin = z.strictObject({
  deaths: z.array(Death).max(MAX_BULLETIN_ITEMS),
  clearances: z.array(Clearance).max(MAX_BULLETIN_ITEMS),
});
export type Bulletin = z.infer<typeof Bulletin>;
