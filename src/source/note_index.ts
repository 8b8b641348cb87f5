/** Finds the versions of a release note without reading the log. */
import * as z from 'zod';
import { Action, Digest } from '../contracts.js';
import { type Platform } from '../platform/platform.js';

const PREFIX = 'notes/';
const DIGITS = 12;

/** A version of a note, as the index remembers it. */
export const Mention = z.strictObject({
  number: z.number().int().min(1),
  action: Action,
  /** Digest of what was handed in. */
  content: Digest,
});
export type Mention = z.infer<typeof Mention>;

/** Most versions that one note may have: bounds what is read for each note handed in. */
export const MAX_VERSIONS = 1_000;

/**
 * One object `notes/<id>/<number>` for each version, created if absent: nothing is ever updated,
 * so writers that race, repeat themselves or wake late all leave the same behind.
 */
export class NoteIndex {
  constructor(private readonly platform: Platform) {}

  async put(note: string, { number, action, content }: Mention, deadline: number): Promise<void> {
    const key = `${PREFIX}${note}/${String(number).padStart(DIGITS, '0')}`;
    await this.platform.create(key, JSON.stringify({ number, action, content }), deadline);
  }

  /** The versions of a note, oldest first. */
  async versionsOf(note: string, deadline: number): Promise<Mention[]> {
    const range = { prefix: `${PREFIX}${note}/`, limit: MAX_VERSIONS };
    const stored = await this.platform.list(range, deadline);
    return stored.map(({ value }) => Mention.parse(JSON.parse(value)));
  }
}
