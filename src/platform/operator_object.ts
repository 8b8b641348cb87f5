/** Decodes the operator's configuration object into resources. */
import * as z from 'zod';
import { sha256 } from '../configuration/digest.js';
import { type Resource, Route, Team, Upstream } from '../contracts.js';
import { UnreadableError } from '../distribution/feed.js';
import { keyDigest } from '../teams/key_digest.js';
import { Duration, VersionTag } from './wire.js';

/** The highest priority of a route or a team; on the platform 0 is the highest priority. */
const HIGHEST_PRIORITY = 9;

const ObjectRoute = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['safe', 'unsafe', 'download']),
  timeout: Duration,
  targetLatency: Duration,
  priority: z.number().int().min(0),
  maxAttempts: z.number().int().min(1),
  service: z.string().optional(),
  /** Services among which requests are split by weight. */
  trafficSplit: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
  /** Whether callers need no key. */
  public: z.boolean().optional(),
});

const ObjectTeam = z.object({
  apiKeys: z.array(z.string()),
  priority: z.number().int().min(0).optional(),
  ratePerS: z.number().optional(),
  burst: z.number().optional(),
});

const OperatorObject = z.object({
  version: VersionTag,
  routes: z.record(z.string(), z.unknown()),
  services: z.record(z.string(), z.object({ healthPath: z.string().optional() })),
  /** Teams by name. */
  tenants: z.record(z.string(), z.unknown()).optional(),
  limits: z
    .object({
      maxHeaderBytes: z.number().int(),
      maxBodyBytes: z.number().int(),
      headerTimeout: Duration,
      /** Longest idle time of callers' connections. */
      idleTimeout: Duration,
    })
    .optional(),
});

/** A complete configuration and its version number. */
export interface DecodedConfiguration {
  readonly number: number;
  readonly resources: readonly Resource[];
}

/**
 * Caches resources by the text they were decoded from: a new version decodes only changes. Teams are
 * cached by the digest of their text, which holds keys.
 */
export class OperatorObjectDecoder {
  #cache = new Map<string, Resource>();

  /** Throws an `UnreadableError` if any part of the object is invalid or unknown. */
  decode(value: string): DecodedConfiguration {
    const object = parsed('config', OperatorObject, jsonOf(value));
    const { version, routes, services, tenants: teams = {}, limits } = object;
    const maxBodyBytes = limits?.maxBodyBytes;
    const decoded = new Map<string, Resource>();
    const add = (kind: string, name: string, from: unknown, decode: () => Resource) => {
      const text = `${kind} ${name} ${JSON.stringify(from)} ${maxBodyBytes}`;
      decoded.set(text, this.#cache.get(text) ?? decode());
    };
    for (const [name, { healthPath }] of Object.entries(services)) {
      add('service', name, healthPath, () =>
        parsed(`upstream/${name}`, Upstream, { kind: 'upstream', name, healthPath }),
      );
    }
    for (const [name, route] of Object.entries(routes)) {
      add('route', name, route, () => routeFrom(name, route, maxBodyBytes));
    }
    for (const [name, team] of Object.entries(teams)) {
      add('team', name, sha256(JSON.stringify(team)), () => teamFrom(name, team));
    }
    this.#cache = decoded;
    return { number: version, resources: [...decoded.values()] };
  }
}

function routeFrom(name: string, from: unknown, maxBodyBytes: number | undefined): Route {
  const path = `route/${name}`;
  const route = parsed(path, ObjectRoute, from);
  const { service, trafficSplit, timeout, targetLatency, priority, maxAttempts } = route;
  const split = trafficSplit?.map((part) => ({ upstream: part.service, weight: part.weight }));
  return parsed(path, Route, {
    kind: 'route',
    name,
    host: route.host,
    pathPrefix: route.pathPrefix,
    upstream: service ?? split?.[0]?.upstream,
    ...(split && split.length > 0 && { split }),
    timeoutMs: Math.round(timeout),
    targetMs: Math.max(1, Math.round(targetLatency)),
    priority: priorityFrom(priority),
    maxAttempts,
    repeatable: route.kind !== 'unsafe',
    ...(route.public && { public: true }),
    ...(maxBodyBytes !== undefined && { maxBodyBytes }),
  });
}

/** The keys themselves are dropped here: the team holds their digests. */
function teamFrom(name: string, from: unknown): Team {
  const path = `team/${name}`;
  const { apiKeys, priority, ratePerS, burst } = parsed(path, ObjectTeam, from);
  return parsed(path, Team, {
    kind: 'team',
    name,
    keyDigests: apiKeys.map(keyDigest),
    ...(priority !== undefined && { priority: priorityFrom(priority) }),
    ...(ratePerS !== undefined && { requestsPerSecond: ratePerS }),
    ...(burst !== undefined && { burst }),
  });
}

function priorityFrom(priority: number): number {
  return Math.max(0, HIGHEST_PRIORITY - priority);
}

/** The error of the parser quotes the text, which holds keys, so it is not passed on. */
function jsonOf(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new UnreadableError([{ path: 'config', message: 'is not valid JSON' }]);
  }
}

/** Messages of schemas name types and limits, never the value found. */
function parsed<S extends z.ZodType>(path: string, schema: S, value: unknown): z.output<S> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => ({
    path: [path, ...issue.path].join('.'),
    message: issue.message,
  }));
  throw new UnreadableError(problems);
}
