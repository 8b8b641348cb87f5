/** The operator's configuration, decoded into the product's resources. */
import * as z from 'zod';
import { type Resource, Route, Upstream } from '../contracts.js';
import { Duration, VersionTag } from './wire.js';

/** The product's highest priority; the platform counts from 0, the highest, downwards. */
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
  /** Services that share the requests by weight. */
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
      /** How long callers' connections may stay idle. */
      idleTimeout: Duration,
    })
    .optional(),
});

/** A whole configuration. */
export interface Whole {
  readonly number: number;
  readonly resources: readonly Resource[];
}

/** Decoded resources by the text they were decoded from, so that a new version costs its change. */
export class OperatorObjects {
  #decoded = new Map<string, Resource>();

  /** Throws if the object is not one that this program understands whole. */
  decode(value: string): Whole {
    const { version, routes, services, limits } = OperatorObject.parse(JSON.parse(value));
    const maxBodyBytes = limits?.maxBodyBytes;
    const decoded = new Map<string, Resource>();
    const keep = (kind: string, name: string, from: unknown, decode: () => Resource) => {
      const text = `${kind} ${name} ${JSON.stringify(from)} ${maxBodyBytes}`;
      decoded.set(text, this.#decoded.get(text) ?? decode());
    };
    for (const [name, { healthPath }] of Object.entries(services)) {
      keep('service', name, healthPath, () =>
        Upstream.parse({ kind: 'upstream', name, healthPath }),
      );
    }
    for (const [name, route] of Object.entries(routes)) {
      keep('route', name, route, () => routeFrom(name, route, maxBodyBytes));
    }
    this.#decoded = decoded;
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
