/** Decodes the operator's configuration object into resources. */
import * as z from 'zod';
import { type Resource, Route, Upstream } from '../contracts.js';
import { Duration, VersionTag } from './wire.js';

/** The highest priority of a route; on the platform 0 is the highest priority. */
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
});

const OperatorObject = z.object({
  version: VersionTag,
  routes: z.record(z.string(), z.unknown()),
  services: z.record(z.string(), z.object({ healthPath: z.string().optional() })),
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

/** Caches resources by the text they were decoded from: a new version decodes only changes. */
export class OperatorObjectDecoder {
  #cache = new Map<string, Resource>();

  /** Throws if any part of the object is invalid or unknown. */
  decode(value: string): DecodedConfiguration {
    const { version, routes, services, limits } = OperatorObject.parse(JSON.parse(value));
    const maxBodyBytes = limits?.maxBodyBytes;
    const decoded = new Map<string, Resource>();
    const add = (kind: string, name: string, from: unknown, decode: () => Resource) => {
      const text = `${kind} ${name} ${JSON.stringify(from)} ${maxBodyBytes}`;
      decoded.set(text, this.#cache.get(text) ?? decode());
    };
    for (const [name, { healthPath }] of Object.entries(services)) {
      add('service', name, healthPath, () =>
        Upstream.parse({ kind: 'upstream', name, healthPath }),
      );
    }
    for (const [name, route] of Object.entries(routes)) {
      add('route', name, route, () => routeFrom(name, route, maxBodyBytes));
    }
    this.#cache = decoded;
    return { number: version, resources: [...decoded.values()] };
  }
}

function routeFrom(name: string, from: unknown, maxBodyBytes: number | undefined): Route {
  const route = ObjectRoute.parse(from);
  const { service, trafficSplit, timeout, targetLatency, priority, maxAttempts } = route;
  const split = trafficSplit?.map((part) => ({ upstream: part.service, weight: part.weight }));
  return Route.parse({
    kind: 'route',
    name,
    host: route.host,
    pathPrefix: route.pathPrefix,
    upstream: service ?? split?.[0]?.upstream,
    ...(split && split.length > 0 && { split }),
    timeoutMs: Math.round(timeout),
    targetMs: Math.max(1, Math.round(targetLatency)),
    priority: Math.max(0, HIGHEST_PRIORITY - priority),
    maxAttempts,
    repeatable: route.kind !== 'unsafe',
    ...(maxBodyBytes !== undefined && { maxBodyBytes }),
  });
}
