/** Release notes, as operators write them (YAML or JSON). */
import * as z from 'zod';
import {
  AcceptedLimit,
  AcceptedName,
  AcceptedRoute,
  AcceptedRule,
  AcceptedTeam,
  AcceptedUpstream,
} from './accepted.js';

/** Maximum size of the text of a release note, in bytes. */
export const MAX_NOTE_BYTES = 4 * 1024 * 1024;

const Section = z.strictObject({
  upstreams: z.array(AcceptedUpstream).default([]),
  routes: z.array(AcceptedRoute).default([]),
  limits: z.array(AcceptedLimit).default([]),
  rules: z.array(AcceptedRule).default([]),
  // Without a default: the digest of a note without teams is that of earlier releases.
  teams: z.array(AcceptedTeam).optional(),
});
export type Section = z.infer<typeof Section>;

const Withdrawal = z.strictObject({
  upstreams: z.array(AcceptedName).default([]),
  routes: z.array(AcceptedName).default([]),
  limits: z.array(AcceptedName).default([]),
  rules: z.array(AcceptedName).default([]),
  teams: z.array(AcceptedName).optional(),
});

/**
 * What a release note adds, changes and withdraws.
 *
 * @example
 * ```yaml
 * id: 2026-12-suppers
 * author: dana
 * add:
 *   upstreams: [{ name: listings }]
 *   routes: [{ name: menus, pathPrefix: /menus, upstream: listings }]
 * ```
 */
export const ReleaseNote = z.strictObject({
  /** Chosen by the operator; submitting the same note again has no effect. */
  id: AcceptedName,
  author: z.string().min(1).max(200),
  title: z.string().max(500).optional(),
  /**
   * The version that the author based the note on. Later changes to the same resources are a
   * conflict.
   */
  base: z.number().int().min(0).optional(),
  /** Resources that must not exist yet. */
  add: Section.prefault({}),
  /** Resources that must exist already; each is replaced as a whole. */
  change: Section.prefault({}),
  /** Names of existing resources to remove. */
  withdraw: Withdrawal.prefault({}),
});
export type ReleaseNote = z.infer<typeof ReleaseNote>;
export type ReleaseNoteInput = z.input<typeof ReleaseNote>;
