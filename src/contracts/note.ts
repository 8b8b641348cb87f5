/** Release notes, as operators write them (YAML or JSON). */
import * as z from 'zod';
import { Limit, Name, Route, Rule, Team, Upstream } from './resource.js';

/** Maximum size of the text of a release note, in bytes. */
export const MAX_NOTE_BYTES = 4 * 1024 * 1024;

const Section = z.strictObject({
  upstreams: z.array(Upstream.omit({ kind: true })).default([]),
  routes: z.array(Route.omit({ kind: true })).default([]),
  limits: z.array(Limit.omit({ kind: true })).default([]),
  rules: z.array(Rule.omit({ kind: true })).default([]),
  // Without a default: the digest of a note without teams is that of earlier releases.
  teams: z.array(Team.omit({ kind: true })).optional(),
});
export type Section = z.infer<typeof Section>;

const Withdrawal = z.strictObject({
  upstreams: z.array(Name).default([]),
  routes: z.array(Name).default([]),
  limits: z.array(Name).default([]),
  rules: z.array(Name).default([]),
  teams: z.array(Name).optional(),
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
  id: Name,
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
