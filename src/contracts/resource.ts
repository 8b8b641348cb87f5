/**
 * The resources of a configuration: upstreams, routes, limits, teams and the insurer's rules.
 *
 * These schemas check only what the code relies on, as processes also read configurations that were
 * accepted elsewhere. If one of them limited sizes, a single resource beyond it would keep the whole
 * version, and all later ones, from being applied. What acceptance refuses stands in `accepted.ts`.
 */
import * as z from 'zod';

/** Longest timeout that requests are given, in milliseconds; timers can hold it with any margin. */
export const MAX_TIMEOUT_MS = 86_400_000;

export const DEFAULT_TIMEOUT_MS = 10_000;
export const DEFAULT_QUEUE = 100;
export const DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Without control characters and unpaired surrogates, which no message carries unchanged. */
export const Name = z.string().regex(/^[^\p{Cc}\p{Cs}]+$/u, 'printable characters only');

/** A named back end. Its endpoints announce themselves and are not part of the configuration. */
export const Upstream = z.strictObject({
  kind: z.literal('upstream'),
  name: Name,
  /** Description. */
  about: z.string().optional(),
  /** Path at which its instances report whether they accept work. */
  healthPath: z.string().startsWith('/').optional(),
});
export type Upstream = z.infer<typeof Upstream>;

/** Limits for each endpoint: concurrent and waiting requests, and the share of retries. */
export const Limit = z.strictObject({
  kind: z.literal('limit'),
  name: Name,
  /** Maximum number of requests in flight at one endpoint. */
  slots: z.number().int().min(1),
  /** Maximum number of requests that wait at one endpoint. */
  queue: z.number().int().min(0).default(DEFAULT_QUEUE),
  /** Allowed retries, as a percentage of first attempts. */
  retryPercent: z.number().min(0).max(100).default(10),
});
export type Limit = z.infer<typeof Limit>;

/** A rule set by the insurer, which every route that lists it must satisfy. */
export const Rule = z.strictObject({
  kind: z.literal('rule'),
  name: Name,
  about: z.string().optional(),
  /** Whether it applies to all routes, including those that do not list it. */
  everywhere: z.boolean().default(false),
  /** The route must name a limit. */
  requireLimit: z.boolean().default(false),
  /** Maximum timeout of the route, in milliseconds. */
  maxTimeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).optional(),
  /** The route must be marked as not repeatable. */
  requireNotRepeatable: z.boolean().default(false),
  /** The route must require an `Idempotency-Key`. */
  requireKey: z.boolean().default(false),
});
export type Rule = z.infer<typeof Rule>;

/** Maximum of the figures of a team's quota, in requests per second and in requests. */
export const MAX_QUOTA = 1_000_000;
/** Highest priority of a route or a team. */
export const MAX_PRIORITY = 9;

/** A group of callers that share keys, a priority and a quota. */
export const Team = z.strictObject({
  kind: z.literal('team'),
  name: Name,
  /**
   * SHA-256 digests of its keys, in hexadecimal digits. The keys themselves are not kept. Without
   * any, nobody can call as this team.
   */
  keyDigests: z.array(
    z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest of 64 lower-case hexadecimal digits'),
  ),
  /** Replaces the priority of the route for its requests; higher goes first. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  /** Requests per second allowed over all processes; no limit when absent or 0. */
  requestsPerSecond: z.number().min(0).max(MAX_QUOTA).optional(),
  /** Requests allowed at once beyond the rate, after a time with fewer. */
  burst: z.number().min(0).max(MAX_QUOTA).optional(),
});
export type Team = z.infer<typeof Team>;

/** Matches requests, and selects the upstream and the rules for them. */
export const Route = z.strictObject({
  kind: z.literal('route'),
  name: Name,
  /** Exact host, without port; matches any host when absent. */
  host: z.string().optional(),
  pathPrefix: z.string().startsWith('/'),
  /** Matches any method when absent. */
  methods: z.array(z.string().regex(/^[A-Z]+$/)).optional(),
  /** Header values that must match exactly, by lower-case header name. */
  headers: z.record(z.string().regex(/^[a-z0-9-]+$/), z.string()).optional(),
  /** Target of the requests; the first of the parts when `split` is set. */
  upstream: Name,
  /** Upstreams among which requests are divided by weight. */
  split: z
    .array(z.strictObject({ upstream: Name, weight: z.number().min(0) }))
    .min(1)
    .optional(),
  limit: Name.optional(),
  rules: z.array(Name).default([]),
  timeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
  /** Maximum number of endpoints that one request is sent to, one after the other. */
  maxAttempts: z.number().int().min(1).optional(),
  /**
   * Time within which an answer is fully useful to callers, in milliseconds; `timeoutMs` when
   * absent.
   */
  targetMs: z.number().int().min(1).max(MAX_TIMEOUT_MS).optional(),
  /** Whether a request may run twice. Default: true for GET, HEAD, OPTIONS, PUT and DELETE only. */
  repeatable: z.boolean().optional(),
  /** Whether requests without an `Idempotency-Key` are refused. */
  requireKey: z.boolean().default(false),
  /** Whether callers need no team key. Without teams in the configuration, none does. */
  public: z.boolean().optional(),
  /** Priority among waiting requests; higher goes first. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).default(5),
  maxBodyBytes: z.number().int().min(0).default(DEFAULT_MAX_BODY_BYTES),
});
export type Route = z.infer<typeof Route>;

export const Resource = z.discriminatedUnion('kind', [Upstream, Limit, Rule, Route, Team]);
export type Resource = z.infer<typeof Resource>;
export type Kind = Resource['kind'];

/** Identity of a resource: `kind/name`, such as `route/menus`. */
export const ResourceKey = z
  .string()
  .regex(/^(upstream|limit|rule|route|team)\/[^\p{Cc}\p{Cs}]+$/u);
export type ResourceKey = z.infer<typeof ResourceKey>;

export function resourceKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}`;
}
