/** Decodes the operator's configuration object into resources. */
import * as z from 'zod';
import { sha256 } from '../configuration/digest.js';
import {
  MAX_PRIORITY,
  MAX_QUOTA,
  MAX_ROUTE_ATTEMPTS,
  MAX_TIMEOUT_MS,
  type Resource,
  Route,
  Team,
  Upstream,
} from '../contracts.js';
import { UnreadableError } from '../distribution/feed.js';
import { keyDigest } from '../teams/key_digest.js';
import { withoutSharedKeys } from './shared_keys.js';
import { Duration, VersionTag } from './wire.js';

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
  limits: z.object({ maxBodyBytes: z.number().int().optional() }).optional(),
});

/** A complete configuration and its version number. */
export interface DecodedConfiguration {
  readonly number: number;
  readonly resources: readonly Resource[];
}

/**
 * The store has acknowledged the object before any process sees it, so each version of it has to be
 * applied. A figure beyond what a process can use is replaced by the nearest one that it can.
 *
 * Caches resources by the text they were decoded from: a new version decodes only changes. Teams are
 * cached by the digest of their text, which holds keys.
 */
export class OperatorObjectDecoder {
  #cache = new Map<string, Resource>();

  /** Teams as decoded, and the same without keys that an earlier one lists too. */
  #teams: { readonly decoded: readonly Team[]; readonly distinct: readonly Team[] } = {
    decoded: [],
    distinct: [],
  };

  /** Throws an `UnreadableError` if any part of the object is invalid or unknown. */
  decode(value: string): DecodedConfiguration {
    const object = parsed('config', OperatorObject, jsonOf(value));
    const { version, routes, services, tenants: teams = {}, limits } = object;
    const maxBodyBytes = limits?.maxBodyBytes;
    const decoded = new Map<string, Resource>();
    const add = <R extends Resource>(
      kind: string,
      name: string,
      from: unknown,
      decode: () => R,
    ) => {
      const text = `${kind} ${name} ${JSON.stringify(from)} ${maxBodyBytes}`;
      const resource = (this.#cache.get(text) as R | undefined) ?? decode();
      decoded.set(text, resource);
      return resource;
    };
    for (const [name, { healthPath }] of Object.entries(services)) {
      add('service', name, healthPath, () =>
        parsed(`upstream/${name}`, Upstream, { kind: 'upstream', name, healthPath }),
      );
    }
    for (const [name, route] of Object.entries(routes)) {
      add('route', name, route, () => routeFrom(name, route, maxBodyBytes));
    }
    const decodedTeams = Object.entries(teams).map(([name, team]) =>
      add('team', name, sha256(JSON.stringify(team)), () => teamFrom(name, team)),
    );
    this.#cache = decoded;
    const others = [...decoded.values()].filter(({ kind }) => kind !== 'team');
    return { number: version, resources: [...others, ...this.#distinctTeams(decodedTeams)] };
  }

  /** Compares the keys of all teams only if a team has changed. */
  #distinctTeams(decoded: readonly Team[]): readonly Team[] {
    const { decoded: before } = this.#teams;
    const isSame =
      decoded.length === before.length && decoded.every((team, index) => team === before[index]);
    if (!isSame) this.#teams = { decoded, distinct: withoutSharedKeys(decoded) };
    return this.#teams.distinct;
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
    timeoutMs: timeoutFrom(timeout),
    targetMs: timeoutFrom(targetLatency),
    priority: priorityFrom(priority),
    maxAttempts: Math.min(maxAttempts, MAX_ROUTE_ATTEMPTS),
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
    keyDigests: [...new Set(apiKeys.map(keyDigest))],
    ...(priority !== undefined && { priority: priorityFrom(priority) }),
    ...(ratePerS !== undefined && { requestsPerSecond: Math.min(ratePerS, MAX_QUOTA) }),
    ...(burst !== undefined && { burst: Math.min(burst, MAX_QUOTA) }),
  });
}

/** Whole milliseconds that a timer can wait. */
function timeoutFrom(ms: number): number {
  return Math.min(MAX_TIMEOUT_MS, Math.max(1, Math.round(ms)));
}

/** On the platform 0 is the highest priority. */
function priorityFrom(priority: number): number {
  return Math.max(0, MAX_PRIORITY - priority);
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
