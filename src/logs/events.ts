/**
 * All lines that a process may write, one schema each. A field has the same name and unit in every
 * line: times are in milliseconds, instants in milliseconds since the epoch.
 */
import * as z from 'zod';
import { RolloutPhase, Verdict } from '../contracts.js';

/** Work at an upstream instance, as it was known when a decision was made. */
const LoadFields = {
  inFlight: z.number(),
  slots: z.number(),
  waiting: z.number(),
};

/** How a request ended at one hop. */
const EndFields = {
  route: z.string().optional(),
  upstream: z.string().optional(),
  verdict: z.union([Verdict, z.literal('cut')]),
  reason: z.string(),
  message: z.string().optional(),
  status: z.number().optional(),
  tookMs: z.number(),
  retryAfterMs: z.number().optional(),
  /** Whether it ended after the instant until which an answer is of full use. */
  isLate: z.boolean().optional(),
  /** Whether its caller had been turned away before. */
  isReturn: z.boolean().optional(),
  /** Length of the answer's body. */
  bytes: z.number().optional(),
  /** From the head of the answer to its end: long where the answer could not get away. */
  relayMs: z.number().optional(),
};

/** Decisions about one request. */
export const RequestEvent = z.discriminatedUnion('event', [
  z.object({
    event: z.literal('routed'),
    method: z.string(),
    path: z.string(),
    route: z.string(),
    upstream: z.string(),
    /** Version of the configuration that it keeps to. */
    version: z.number(),
    /** Until the caller gives up. */
    leftMs: z.number(),
    /** Until an answer is of less use. */
    targetMs: z.number(),
    /** Since the caller's first attempt, if it was turned away here before. */
    waitedMs: z.number().optional(),
    isRepeatable: z.boolean(),
  }),
  z.object({
    event: z.literal('sent'),
    exchange: z.string(),
    /** Name of the process beside the chosen upstream instance. */
    endpoint: z.string(),
    dataCentre: z.string(),
    attempt: z.number(),
    /** By which endpoints are compared: the time that one more request is expected to take. */
    costMs: z.number(),
    ...LoadFields,
    /** How old the load is that the endpoint reported; absent before its first report. */
    loadAgeMs: z.number().optional(),
  }),
  z.object({
    event: z.literal('attempt-failed'),
    exchange: z.string(),
    endpoint: z.string(),
    verdict: Verdict,
    reason: z.string(),
    message: z.string(),
    tookMs: z.number(),
  }),
  z.object({
    event: z.literal('resent'),
    endpoint: z.string(),
    /** Whether nothing had reached an upstream instance, so that no budget is spent. */
    isFailover: z.boolean(),
    startMs: z.number(),
  }),
  z.object({
    event: z.literal('not-resent'),
    /** Why no other endpoint is asked. */
    denial: z.string(),
    /** Retries that the budget would still allow. */
    tokens: z.number(),
  }),
  z.object({
    event: z.literal('admitted'),
    exchange: z.string(),
    waitedMs: z.number(),
    ...LoadFields,
  }),
  z.object({ event: z.literal('entry-ended'), ...EndFields }),
  z.object({
    event: z.literal('guard-ended'),
    exchange: z.string(),
    ...LoadFields,
    /** Until all heavy answers that are promised have left by the link. */
    leavingMs: z.number().optional(),
    ...EndFields,
  }),
]);
export type RequestEvent = z.infer<typeof RequestEvent>;

/** Changes of what a process is, or believes. */
export const ProcessEvent = z.discriminatedUnion('event', [
  z.object({
    event: z.literal('started'),
    dataCentre: z.string(),
    callerPort: z.number(),
    incarnation: z.number(),
  }),
  z.object({
    /** It starts slower, from its source: no code compiled ahead could be used. */
    event: z.literal('uncompiled'),
    reason: z.string(),
  }),
  z.object({ event: z.literal('stopping') }),
  z.object({ event: z.literal('stopped'), inFlight: z.number() }),
  z.object({
    /** By a fault of its own; nothing comes after it. */
    event: z.literal('ended'),
    origin: z.string(),
    message: z.string(),
    stack: z.string(),
  }),
  z.object({ event: z.literal('reloaded') }),
  z.object({ event: z.literal('reload-failed'), message: z.string() }),
  z.object({ event: z.literal('ready'), version: z.number() }),
  z.object({
    event: z.literal('applied'),
    version: z.number(),
    digest: z.string(),
    resources: z.number(),
    /** How it came here. */
    origin: z.enum(['source', 'push', 'pull', 'difference', 'pages']),
  }),
  z.object({
    /** A peer that is ahead served what is no newer than what is held here. */
    event: z.literal('served-older'),
    held: z.number(),
    served: z.number(),
  }),
  z.object({
    /** The process stood still, or had more to do than time: it woke up so much too late. */
    event: z.literal('late'),
    lateMs: z.number(),
  }),
  z.object({
    /** An upstream instance has said that it leaves. */
    event: z.literal('drain-announced'),
    id: z.string(),
    /** Whether it is the one beside this process, which drains from now on. */
    isBeside: z.boolean(),
  }),
  z.object({
    event: z.literal('version-refused'),
    version: z.number(),
    reason: z.string(),
    problems: z.array(z.string()),
  }),
  z.object({ event: z.literal('reader-changed'), isReader: z.boolean() }),
  z.object({
    event: z.literal('endpoint-changed'),
    endpoint: z.string(),
    upstream: z.string(),
    state: z.string(),
    slots: z.number(),
  }),
  z.object({
    event: z.literal('liveness-changed'),
    endpoint: z.string(),
    liveness: z.string(),
  }),
  z.object({ event: z.literal('neighbour-found'), neighbour: z.string() }),
  z.object({ event: z.literal('neighbour-lost'), neighbour: z.string() }),
  z.object({
    event: z.literal('upstream-changed'),
    upstream: z.string(),
    state: z.string(),
    slots: z.number(),
    id: z.string().optional(),
  }),
  z.object({
    event: z.literal('rollout-changed'),
    upstream: z.string(),
    version: z.string(),
    phase: RolloutPhase,
    /** How long the operator gives it. */
    durationMs: z.number(),
  }),
  z.object({
    /** The platform answered with something that holds no orders of roll-outs. */
    event: z.literal('orders-unread'),
    message: z.string(),
  }),
  z.object({
    /** The verdict of this process, and what it goes by. */
    event: z.literal('rollout-judged'),
    upstream: z.string(),
    version: z.string(),
    phase: RolloutPhase,
    reason: z.string(),
    /** Of the version on trial. */
    answered: z.number(),
    failed: z.number(),
    /** From 0 to 1, where it is withdrawn. */
    suspicion: z.number(),
  }),
  z.object({
    event: z.literal('dependency-lost'),
    dependency: z.enum(['platform']),
    message: z.string(),
  }),
  z.object({
    event: z.literal('dependency-regained'),
    dependency: z.enum(['platform']),
    awayMs: z.number(),
  }),
  z.object({
    event: z.literal('tally'),
    route: z.string(),
    upstream: z.string(),
    /** Requests of the second that ended at the entry: the sum of the four ends below. */
    asked: z.number(),
    /** Those of them whose caller had been turned away before. */
    returned: z.number(),
    inTime: z.number(),
    late: z.number(),
    /** Proven not to have run. */
    refused: z.number(),
    failed: z.number(),
    /** Bytes of the answers' bodies. */
    bytes: z.number().optional(),
    /** Why they were refused or failed. */
    reasons: z.record(z.string(), z.number()),
  }),
  z.object({
    event: z.literal('lines-dropped'),
    /** Lines of requests that were served. */
    routine: z.number(),
    /** All others. */
    important: z.number(),
  }),
]);
export type ProcessEvent = z.infer<typeof ProcessEvent>;

/** What stands in every line besides. */
export const CommonFields = z.object({
  level: z.string(),
  at: z.number(),
  instance: z.string(),
  /** The caller's name for the request, in lines about one. */
  id: z.string().optional(),
});

export const Line = CommonFields.and(z.union([RequestEvent, ProcessEvent]));
export type Line = z.infer<typeof Line>;
