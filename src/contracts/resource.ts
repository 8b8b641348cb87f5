/** The resources a configuration is made of: upstreams, routes, limits and the insurer's rules. */
import * as z from 'zod';

export const MAX_NAME_LENGTH = 63;
/** Longest time a route may grant a request, in milliseconds. */
export const MAX_TIMEOUT_MS = 300_000;

export const Name = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'lower-case letters, digits, dots and dashes only');

/** A named back end. Its endpoints announce themselves; they are not configuration. */
export const Upstream = z.strictObject({
  kind: z.literal('upstream'),
  name: Name,
  /** Free text for people. */
  about: z.string().max(2000).optional(),
  /** Where its instances answer whether they take work. */
  healthPath: z.string().startsWith('/').max(1024).optional(),
});
export type Upstream = z.infer<typeof Upstream>;

/** What one endpoint may be given at a time, and how much retrying its callers may add. */
export const Limit = z.strictObject({
  kind: z.literal('limit'),
  name: Name,
  /** Requests in flight at one endpoint at most. */
  slots: z.number().int().min(1).max(1000),
  /** Requests that may wait at one endpoint. */
  queue: z.number().int().min(0).max(10_000).default(100),
  /** Retries allowed, as a percentage of first attempts. */
  retryPercent: z.number().min(0).max(100).default(10),
});
export type Limit = z.infer<typeof Limit>;

/** A condition set by the insurer, which every route that lists it must meet. */
export const Rule = z.strictObject({
  kind: z.literal('rule'),
  name: Name,
  about: z.string().max(2000).optional(),
  /** Applies to every route, listed or not. */
  everywhere: z.boolean().default(false),
  /** The route must name a limit. */
  requireLimit: z.boolean().default(false),
  /** The route may grant a request this long at most, in milliseconds. */
  maxTimeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).optional(),
  /** The route must be marked as not repeatable. */
  requireNotRepeatable: z.boolean().default(false),
  /** The route must insist on an `Idempotency-Key`. */
  requireKey: z.boolean().default(false),
});
export type Rule = z.infer<typeof Rule>;

/** Which requests go to which upstream, and under what conditions. */
export const Route = z.strictObject({
  kind: z.literal('route'),
  name: Name,
  /** Exact host, without port; any host when absent. */
  host: z.string().max(253).optional(),
  pathPrefix: z.string().startsWith('/').max(1024),
  /** Any method when absent. */
  methods: z.array(z.string().regex(/^[A-Z]+$/)).optional(),
  /** Header values that must match exactly, by lower-case name. */
  headers: z.record(z.string().regex(/^[a-z0-9-]+$/), z.string()).optional(),
  /** Where requests go; the first of the parts where there is a split. */
  upstream: Name,
  /** Upstreams that share the requests by weight. */
  split: z
    .array(z.strictObject({ upstream: Name, weight: z.number().min(0) }))
    .min(1)
    .refine((parts) => parts.some(({ weight }) => weight > 0), 'all weights are zero')
    .optional(),
  limit: Name.optional(),
  rules: z.array(Name).default([]),
  timeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).default(10_000),
  /** Endpoints that one request may be sent to, one after the other. */
  maxAttempts: z.number().int().min(1).max(10).optional(),
  /** Time within which an answer is of full use to callers; `timeoutMs` when absent. */
  targetMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).optional(),
  /** Whether a request may run twice. When absent: GET, HEAD, OPTIONS, PUT and DELETE may. */
  repeatable: z.boolean().optional(),
  /** Requests without an `Idempotency-Key` are refused. */
  requireKey: z.boolean().default(false),
  /** Higher goes first where requests wait. */
  priority: z.number().int().min(0).max(9).default(5),
  maxBodyBytes: z
    .number()
    .int()
    .min(0)
    .max(1 << 30)
    .default(16 * 1024 * 1024),
});
export type Route = z.infer<typeof Route>;

export const Resource = z.discriminatedUnion('kind', [Upstream, Limit, Rule, Route]);
export type Resource = z.infer<typeof Resource>;
export type Kind = Resource['kind'];

/** Identity of a resource: `kind/name`, such as `route/menus`. */
export const ResourceKey = z.string().regex(/^(upstream|limit|rule|route)\/[a-z0-9][a-z0-9.-]*$/);
export type ResourceKey = z.infer<typeof ResourceKey>;

export function resourceKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}`;
}
