/**
 * Schemas of all log lines that a process may write. A field has the same name and unit in every
 * line: durations are in milliseconds, timestamps in milliseconds since the epoch.
 */
import * as z from 'zod';
import { RolloutPhase, Verdict } from '../contracts.js';

/** Load of an upstream instance, as known when a decision was made. */
const LoadFields = {
  inFlight: z.number(),
  slots: z.number(),
  waiting: z.number(),
};

/** How a request ended at one hop. */
const EndFields = {
  route: z.string().optional(),
  upstream: z.string().optional(),
  /** Name of the caller's team, at the entry. */
  team: z.string().optional(),
  verdict: z.union([Verdict, z.literal('cut')]),
  reason: z.string(),
  message: z.string().optional(),
  status: z.number().optional(),
  tookMs: z.number(),
  retryAfterMs: z.number().optional(),
  /** Whether it ended after its target time; see `targetMs`. */
  isLate: z.boolean().optional(),
  /** Whether it is a retry by a caller that was refused before. */
  isReturn: z.boolean().optional(),
  /** Length of the response body. */
  bytes: z.number().optional(),
  /** Time from the head of the response to its end: long if the network or the client is slow. */
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
    /** Name of the caller's team; absent without a known key. */
    team: z.string().optional(),
    /** Version of the configuration that is used for this request throughout. */
    version: z.number(),
    /** Time until the caller's deadline. */
    leftMs: z.number(),
    /** Time until the target, after which a response is of less use to the caller. */
    targetMs: z.number(),
    /** Time since the caller's first attempt, if that was refused here. */
    waitedMs: z.number().optional(),
    isRepeatable: z.boolean(),
  }),
  z.object({
    event: z.literal('sent'),
    exchange: z.string(),
    /** Name of the process that serves the chosen upstream instance. */
    endpoint: z.string(),
    dataCentre: z.string(),
    attempt: z.number(),
    /** Expected time of one more request, by which endpoints are compared. */
    costMs: z.number(),
    ...LoadFields,
    /** Expected wait for the rate limit of the upstream instance; absent without a wait. */
    rateWaitMs: z.number().optional(),
    /** Age of the load that the endpoint reported last; absent before its first report. */
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
    /** Whether no upstream instance got the request, so that no retry budget is spent. */
    isFailover: z.boolean(),
    startMs: z.number(),
  }),
  z.object({
    event: z.literal('not-resent'),
    /** Why the request is not sent to another endpoint. */
    denial: z.string(),
    /** Retries left in the budget. */
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
    /** Time until all large responses that are scheduled have been sent over the network link. */
    leavingMs: z.number().optional(),
    ...EndFields,
  }),
  z.object({
    /** The process ended before the request did; the decisions before it say where it stood. */
    event: z.literal('unfinished'),
    hop: z.enum(['entry', 'guard']),
    route: z.string().optional(),
    upstream: z.string().optional(),
    /** Status of the response if its head had been sent. */
    status: z.number().optional(),
    tookMs: z.number(),
  }),
]);
export type RequestEvent = z.infer<typeof RequestEvent>;

/** Changes in the state of a process, or in its view of the fleet. */
export const ProcessEvent = z.discriminatedUnion('event', [
  z.object({
    event: z.literal('started'),
    dataCentre: z.string(),
    callerPort: z.number(),
    incarnation: z.number(),
  }),
  z.object({
    /** No precompiled code could be used, so the process starts more slowly from its source. */
    event: z.literal('uncompiled'),
    reason: z.string(),
  }),
  z.object({ event: z.literal('stopping') }),
  z.object({
    /** The process got a signal; `none`: one that asks it for nothing. */
    event: z.literal('signal'),
    signal: z.string(),
    action: z.enum(['stop', 'reload', 'none']),
  }),
  z.object({
    /** A stopping process has closed the port for callers; connections that are open may be used. */
    event: z.literal('port-closed'),
    inFlight: z.number(),
    connections: z.number(),
    /** How many of these have brought no request yet. */
    unused: z.number(),
  }),
  z.object({
    event: z.literal('stopped'),
    /** Requests that the stop cuts; each that has no complete response yet has a line `unfinished`. */
    inFlight: z.number(),
    /** Open connections of callers. */
    connections: z.number().optional(),
  }),
  z.object({
    /** An uncaught exception. What is in flight may end for some seconds, then the process does. */
    event: z.literal('uncaught'),
    origin: z.string(),
    message: z.string(),
    stack: z.string(),
  }),
  z.object({
    /** Ended though nobody asked for it; always the last line. */
    event: z.literal('ended'),
    /** `uncaughtException`, `unhandledRejection`, or `settings` if these cannot be used. */
    origin: z.string(),
    message: z.string(),
    stack: z.string(),
    /** Lines before it that were not written, as the reader stalled. */
    lostLines: z.number().optional(),
  }),
  z.object({
    /** A fault of the program that ended no more than the task in which it occurred. */
    event: z.literal('fault'),
    /** Part of the program in which it was caught. */
    place: z.string(),
    /** Faults there since the start; not each of them has a line. */
    count: z.number(),
    message: z.string(),
    stack: z.string(),
  }),
  z.object({
    /** A request waited long for the check of its caller; at most one line a second. */
    event: z.literal('caller-check-late'),
    waitedMs: z.number(),
    /** Requests that wait for the check. */
    waiting: z.number(),
  }),
  z.object({
    /** The upstream instance beside this process stated a rate limit, changed or withdrew it. */
    event: z.literal('rate-limit-changed'),
    /** Requests per second that it takes; absent without a limit. */
    perSecond: z.number().optional(),
  }),
  z.object({ event: z.literal('reloaded') }),
  z.object({ event: z.literal('reload-failed'), message: z.string() }),
  z.object({ event: z.literal('ready'), version: z.number() }),
  z.object({
    event: z.literal('applied'),
    version: z.number(),
    digest: z.string(),
    resources: z.number(),
    /** How this process got the version. */
    origin: z.enum(['source', 'push', 'pull', 'difference', 'pages']),
    /** Time since a process read it from the source, by the clock of that process; pushed and pulled versions only. */
    ageMs: z.number().optional(),
  }),
  z.object({
    /** A peer that announced a later version served one no newer than that held here. */
    event: z.literal('served-older'),
    held: z.number(),
    served: z.number(),
  }),
  z.object({
    /** The process was paused or overloaded: a timer fired this much too late. */
    event: z.literal('late'),
    lateMs: z.number(),
  }),
  z.object({
    /** The heap has passed four fifths of its limit, at which V8 aborts the process; sizes in bytes. */
    event: z.literal('heap-high'),
    usedBytes: z.number(),
    limitBytes: z.number(),
    residentBytes: z.number(),
  }),
  z.object({
    /** An upstream instance announced that it drains. */
    event: z.literal('drain-announced'),
    id: z.string(),
    /** Whether it is the local one, which drains from now on. */
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
    /** Another process watches the platform in place of this one, which does not reach it. */
    event: z.literal('reading-delegated'),
    delegate: z.string(),
  }),
  z.object({
    /** No reader of this data centre is heard of any more; this process is the next to read. */
    event: z.literal('readers-silent'),
    silentMs: z.number(),
  }),
  z.object({
    /** This process begins to read the source, as its peers bring it no versions. */
    event: z.literal('reading-alone'),
    /** `cut-off`: no peer is heard of; `stalled`: peers hold a later version and do not send it. */
    reason: z.enum(['cut-off', 'stalled']),
  }),
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
  z.object({
    /** Another process ended and has started again, without having announced that it leaves. */
    event: z.literal('unannounced-restart'),
    endpoint: z.string(),
    /** Time of its new start. */
    incarnation: z.number(),
  }),
  z.object({ event: z.literal('neighbour-found'), neighbour: z.string() }),
  z.object({
    event: z.literal('neighbour-lost'),
    neighbour: z.string(),
    /** Time since its last message: seconds if the link was closed here for silence. */
    silentMs: z.number(),
  }),
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
    /** Time that the operator allows for the rollout. */
    durationMs: z.number(),
  }),
  z.object({
    /** The response of the platform could not be parsed as rollout orders. */
    event: z.literal('orders-unread'),
    message: z.string(),
  }),
  z.object({
    /** Verdict of this process on a rollout, with the evidence for it. */
    event: z.literal('rollout-judged'),
    upstream: z.string(),
    version: z.string(),
    phase: RolloutPhase,
    reason: z.string(),
    /** Responses of the version on trial. */
    answered: z.number(),
    failed: z.number(),
    /** As a share of the suspicion at which the version is rolled back: 0 to 1. */
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
    /** Requests that ended at the entry: `inTime`, `late`, `refused` and `failed` together. */
    asked: z.number(),
    /** How many of them are retries by callers that were refused before. */
    returned: z.number(),
    inTime: z.number(),
    late: z.number(),
    /** Known not to have run. */
    refused: z.number(),
    failed: z.number(),
    /** Bytes of response bodies. */
    bytes: z.number().optional(),
    /** Refused and failed requests by reason. */
    reasons: z.record(z.string(), z.number()),
  }),
  z.object({
    event: z.literal('lines-dropped'),
    /** Lines about served requests. */
    routine: z.number(),
    /** All other lines. */
    important: z.number(),
  }),
]);
export type ProcessEvent = z.infer<typeof ProcessEvent>;

/** Fields that all lines have. */
export const CommonFields = z.object({
  level: z.string(),
  at: z.number(),
  instance: z.string(),
  /** Request id that the caller set, in lines about a request. */
  id: z.string().optional(),
});

export const Line = CommonFields.and(z.union([RequestEvent, ProcessEvent]));
export type Line = z.infer<typeof Line>;
