/** Requests that crash upstreams: what processes tell each other of deaths and clearances. */
import * as z from 'zod';

/** In flight at a death at most; an upstream instance has about 20 slots. */
export const MAX_SUSPECTS = 32;
/** Deaths and clearances in one message at most, which bounds it to some 300 KB. */
export const MAX_BULLETIN_ITEMS = 128;

/** Digest of what tells a request from another. It does not give away the request. */
const Fingerprint = z.string().max(80);

/** An upstream instance died with requests in flight. */
export const Death = z.strictObject({
  /** Drawn by the process beside it; the same death counts once. */
  id: z.string().max(64),
  upstream: z.string(),
  suspects: z.array(Fingerprint).max(MAX_SUSPECTS),
  /** How long ago it was, in milliseconds: an instant would be misread where clocks differ. */
  ageMs: z.number().min(0),
});
export type Death = z.infer<typeof Death>;

/** A request was answered well: deaths from before cannot have been its doing. */
export const Clearance = z.strictObject({ fingerprint: Fingerprint, ageMs: z.number().min(0) });
export type Clearance = z.infer<typeof Clearance>;

export const Bulletin = z.strictObject({
  deaths: z.array(Death).max(MAX_BULLETIN_ITEMS),
  clearances: z.array(Clearance).max(MAX_BULLETIN_ITEMS),
});
export type Bulletin = z.infer<typeof Bulletin>;
