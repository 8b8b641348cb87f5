/** Membership: what processes know of each other. It is not configuration. */
import * as z from 'zod';
import { Name } from './resource.js';

/** How willing the upstream instance beside a process is to take work. */
export const EndpointState = z.enum(['cold', 'ready', 'draining', 'down']);
export type EndpointState = z.infer<typeof EndpointState>;

/** The last word of an upstream instance that leaves, by which the process beside it is bound. */
export const Drain = z.strictObject({
  /** The id by which the upstream instance knows itself. */
  id: z.string(),
  /** Start of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
  /** A later announcement takes it back; absent where nothing does. */
  sequence: z.number().int().optional(),
});
export type Drain = z.infer<typeof Drain>;

/** One instance of an upstream, as its process announces it. */
export const Endpoint = z.strictObject({
  upstream: Name,
  state: EndpointState,
  /** Requests it can run at a time. */
  slots: z.number().int().min(1),
  /** Version of its software; absent where nothing depends on it, and until it has said so. */
  version: z.string().optional(),
  /** Set while it drains because it has said so itself. */
  drain: Drain.optional(),
});
export type Endpoint = z.infer<typeof Endpoint>;

export const Liveness = z.enum(['alive', 'suspect', 'dead', 'left']);
export type Liveness = z.infer<typeof Liveness>;

/** One process of the system, and a statement about it; `isNewer` says which of two holds. */
export const Member = z.strictObject({
  instance: z.string().min(1),
  dataCentre: z.string().min(1),
  host: z.string(),
  /** Links between processes. */
  linkPort: z.number().int(),
  /** Requests for the upstream beside it. */
  guardPort: z.number().int(),
  /** Operators' port. */
  operatorsPort: z.number().int(),
  /** Start of the process, in milliseconds since the epoch; raised to refute what others say. */
  incarnation: z.number().int(),
  /** Raised by the member itself with every change of its endpoint; -1 in a registration. */
  sequence: z.number().int(),
  liveness: Liveness,
  endpoint: Endpoint.optional(),
});
export type Member = z.infer<typeof Member>;
