/**
 * Resources as release notes may give them. Acceptance refuses a note beyond these limits, with the
 * reason, before anything is stored; processes apply whatever was accepted.
 */
import * as z from 'zod';
import {
  DEFAULT_MAX_BODY_BYTES,
  DEFAULT_QUEUE,
  DEFAULT_TIMEOUT_MS,
  Limit,
  MAX_QUOTA,
  Name,
  Route,
  Rule,
  Team,
  Upstream,
} from './resource.js';

export const MAX_NAME_LENGTH = 63;
/** Maximum timeout that a route may allow, in milliseconds. */
export const MAX_NOTE_TIMEOUT_MS = 300_000;
/** Maximum number of keys of one team. */
export const MAX_KEYS_PER_TEAM = 64;
/** Maximum number of endpoints that one request may be sent to. */
export const MAX_ROUTE_ATTEMPTS = 10;
const MAX_ABOUT_LENGTH = 2_000;
const MAX_PATH_LENGTH = 1_024;
const MAX_HOST_LENGTH = 253;
const MAX_SLOTS = 1_000;
const MAX_QUEUE = 10_000;
const MAX_BODY_BYTES = 1 << 30;

/** A name that an operator chooses; it is readable in a path, a label and a file name. */
export const AcceptedName = Name.max(MAX_NAME_LENGTH).regex(
  /^[a-z0-9][a-z0-9.-]*$/,
  'lower-case letters, digits, dots and dashes only',
);

const About = z.string().max(MAX_ABOUT_LENGTH).optional();
const TimeoutMs = z.number().int().min(1).max(MAX_NOTE_TIMEOUT_MS);
const Quota = z.number().min(0).max(MAX_QUOTA).optional();

export const AcceptedUpstream = Upstream.omit({ kind: true }).extend({
  name: AcceptedName,
  about: About,
  healthPath: z.string().startsWith('/').max(MAX_PATH_LENGTH).optional(),
});

export const AcceptedLimit = Limit.omit({ kind: true }).extend({
  name: AcceptedName,
  slots: Limit.shape.slots.max(MAX_SLOTS),
  queue: Limit.shape.queue.unwrap().max(MAX_QUEUE).default(DEFAULT_QUEUE),
});

export const AcceptedRule = Rule.omit({ kind: true }).extend({
  name: AcceptedName,
  about: About,
  maxTimeoutMs: TimeoutMs.optional(),
});

export const AcceptedTeam = Team.omit({ kind: true }).extend({
  name: AcceptedName,
  keyDigests: Team.shape.keyDigests.max(MAX_KEYS_PER_TEAM),
  requestsPerSecond: Quota,
  burst: Quota,
});

export const AcceptedRoute = Route.omit({ kind: true }).extend({
  name: AcceptedName,
  host: z.string().max(MAX_HOST_LENGTH).optional(),
  pathPrefix: z.string().startsWith('/').max(MAX_PATH_LENGTH),
  upstream: AcceptedName,
  split: z
    .array(z.strictObject({ upstream: AcceptedName, weight: z.number().min(0) }))
    .min(1)
    .refine((parts) => parts.some(({ weight }) => weight > 0), 'all weights are zero')
    .optional(),
  limit: AcceptedName.optional(),
  rules: z.array(AcceptedName).default([]),
  timeoutMs: TimeoutMs.default(DEFAULT_TIMEOUT_MS),
  targetMs: TimeoutMs.optional(),
  maxAttempts: Route.shape.maxAttempts.unwrap().max(MAX_ROUTE_ATTEMPTS).optional(),
  maxBodyBytes: Route.shape.maxBodyBytes
    .unwrap()
    .max(MAX_BODY_BYTES)
    .default(DEFAULT_MAX_BODY_BYTES),
});
