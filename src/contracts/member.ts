/** Membership: what processes know of each other. It is not part of the configuration. */
import * as z from 'zod';
import { Name } from './resource.js';

/** Whether the upstream instance next to a process accepts work. */
export const EndpointState = z.enum(['cold', 'ready', 'draining', 'down']);
export type EndpointState = z.infer<typeof EndpointState>;

/**
 * Announcement by an upstream instance that it is leaving, which is binding for the process next to
 * it.
 */
export const Drain = z.strictObject({
  /** Id that the upstream instance uses for itself. */
  id: z.string(),
  /** Start time of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
  /** A later announcement, with a higher sequence, revokes it; absent if it cannot be revoked. */
  sequence: z.number().int().optional(),
});
export type Drain = z.infer<typeof Drain>;

/** An instance of an upstream, as announced by the process next to it. */
export const Endpoint = z.strictObject({
  upstream: Name,
  state: EndpointState,
  /** Maximum number of concurrent requests. */
  slots: z.number().int().min(1),
  /** Version of its software; absent if nothing depends on it, or if not reported yet. */
  version: z.string().optional(),
  /** Set while it drains at its own request. */
  drain: Drain.optional(),
});
export type Endpoint = z.infer<typeof Endpoint>;

export const Liveness = z.enum(['alive', 'suspect', 'dead', 'left']);
export type Liveness = z.infer<typeof Liveness>;

/** A record of one process of the system; `isNewer` decides which of two records prevails. */
export const Member = z.strictObject({
  instance: z.string().min(1),
  dataCentre: z.string().min(1),
  host: z.string(),
  /** Port for links between processes. */
  linkPort: z.number().int(),
  /** Port for requests to the upstream instance next to the process. */
  guardPort: z.number().int(),
  /** Operators' port. */
  operatorsPort: z.number().int(),
  /**
   * Start time of the process, in milliseconds since the epoch; raised to refute what others state
   * about it.
   */
  incarnation: z.number().int(),
  /** Raised by the member itself with every change of its endpoint; -1 in a registration. */
  sequence: z.number().int(),
  liveness: Liveness,
  endpoint: Endpoint.optional(),
});
export type Member = z.infer<typeof Member>;
