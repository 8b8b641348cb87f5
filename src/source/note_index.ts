/** Index of versions by release note, so that finding them does not take a read of the log. */
import * as z from 'zod';
import { Action, Digest } from '../contracts.js';
import { type Platform } from '../platform/platform.js';

const PREFIX = 'notes/';
const DIGITS = 12;

/** A version of a note, as stored in the index. */
export const IndexedVersion = z.strictObject({
  number: z.number().int().min(1),
  action: Action,
  /** Digest of the proposal. */
  content: Digest,
});
export type IndexedVersion = z.infer<typeof IndexedVersion>;

/** Most versions that one note may have; limits what is read for each proposal. */
export const MAX_VERSIONS = 1_000;

/**
 * One object `notes/<id>/<number>` for each version, created if absent and never updated, so
 * writers that race, repeat a write or resume late all have the same result.
 */
export class NoteIndex {
  constructor(private readonly platform: Platform) {}

  async put(
    note: string,
    { number, action, content }: IndexedVersion,
    deadline: number,
  ): Promise<void> {
    const key = `${PREFIX}${note}/${String(number).padStart(DIGITS, '0')}`;
    await this.platform.create(key, JSON.stringify({ number, action, content }), deadline);
  }

  /** The versions of a note, oldest first. */
  async versionsOf(note: string, deadline: number): Promise<IndexedVersion[]> {
    const range = { prefix: `${PREFIX}${note}/`, limit: MAX_VERSIONS };
    const stored = await this.platform.list(range, deadline);
    return stored.map(({ value }) => IndexedVersion.parse(JSON.parse(value)));
  }
}
