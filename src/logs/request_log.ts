/** Buffers the decisions about each request until its outcome is known. */
import { type ServerResponse } from 'node:http';
import { type OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { fnv1a } from '../runtime/hash.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type RequestEvent } from './events.js';
import { type Level, type Log, SilentLog } from './log.js';

/** Decisions kept per request: the first and the latest, which explain the outcome. */
const MAX_DECISIONS = 24;
/** One in this many served requests is sampled, the same ones at all hops; failures are not sampled. */
const SERVED_SAMPLE_INTERVAL = 16;
/** Most served requests that are logged per second. */
const SERVED_PER_SECOND = 20;
/** Most requests that were not served and are logged with all decisions, per second. */
const REFUSED_PER_SECOND = 20;
/** Most further ones that are logged with their end only, per second: bursts must stay cheap. */
const REFUSED_ENDS_PER_SECOND = 200;

type EndEvent = Extract<RequestEvent, { readonly event: 'entry-ended' | 'guard-ended' }>;
type UnfinishedEvent = Extract<RequestEvent, { readonly event: 'unfinished' }>;
/** How a request ended at one hop. */
export type RequestEnd = Pick<
  EndEvent,
  | 'verdict'
  | 'reason'
  | 'status'
  | 'tookMs'
  | 'route'
  | 'upstream'
  | 'team'
  | 'isLate'
  | 'isReturn'
  | 'bytes'
  | 'relayMs'
>;

type Routed = Extract<RequestEvent, { readonly event: 'routed' }>;
/** Response that was sent to the caller. */
type SentResponse = Pick<ServerResponse, 'statusCode'>;
/** Response that may not have been sent yet. */
type PendingResponse = Pick<ServerResponse, 'statusCode' | 'headersSent'>;

/** State that only the guard knows. */
export interface GuardState {
  readonly exchange: string;
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  readonly leavingMs: number;
}

/** Size and duration of the relay of a response body. */
export type Relayed = Required<Pick<EndEvent, 'bytes' | 'relayMs'>>;

export interface Destination {
  readonly route?: string;
  readonly upstream?: string;
}

const SERVER_ERROR = 500;

export class RequestLog {
  readonly #served: TokenBucket;

  readonly #refused: TokenBucket;

  readonly #refusedEnds: TokenBucket;

  /** Requests since the start that were not logged because of sampling or the rate limits. */
  leftOut = 0;

  /** Traces of the requests that have not ended. */
  readonly #unfinished = new Set<Trace>();

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    /** Called with the end of each request, whether it is logged or not. */
    private readonly onEnded: (ended: RequestEnd) => void = () => {},
  ) {
    this.#served = new TokenBucket(clock, SERVED_PER_SECOND, SERVED_PER_SECOND);
    this.#refused = new TokenBucket(clock, REFUSED_PER_SECOND, REFUSED_PER_SECOND);
    this.#refusedEnds = new TokenBucket(clock, REFUSED_ENDS_PER_SECOND, REFUSED_ENDS_PER_SECOND);
  }

  /** Begins the trace of a request; `id` is the one that its caller set. */
  begin(id: string, response?: PendingResponse): Trace {
    if (!this.log.isEnabled('warn')) return new Trace(id, this.clock, undefined, this.onEnded);
    const trace = new Trace(id, this.clock, this, this.onEnded, response);
    this.#unfinished.add(trace);
    return trace;
  }

  /**
   * Writes the decisions about each request that has not ended, within the rate limits of failures.
   * Called as the process ends: these requests are cut, and would leave no line.
   */
  writeUnfinished(hop: 'entry' | 'guard'): void {
    for (const trace of this.#unfinished) trace.writeUnfinished(hop);
    this.#unfinished.clear();
  }

  /** Forgets a trace that has ended. */
  forget(trace: Trace): void {
    this.#unfinished.delete(trace);
  }

  /** Writes the decisions about a request that has ended, within the sampling and rate limits. */
  write(id: string, decisions: readonly Decision[], ended: EndEvent | UnfinishedEvent): void {
    const level = levelOf(ended);
    if (!this.log.isEnabled(level)) return;
    const isRoutine = level === 'debug';
    if (isRoutine && !isSampled(id)) {
      this.leftOut += 1;
      return;
    }
    if ((isRoutine ? this.#served : this.#refused).take()) {
      for (const { at, event } of decisions) this.log.record(level, { id, ...event }, at);
    } else if (!isRoutine && this.#refusedEnds.take()) this.log.record(level, { id, ...ended });
    else this.leftOut += 1;
  }
}

interface Decision {
  readonly at: number;
  readonly event: RequestEvent;
}

/** The decisions about one request at one hop, in order. */
export class Trace {
  readonly #decisions: Decision[] = [];

  readonly startedAt: number;

  /** Route and upstream of the request, as far as they are known. */
  destination: Destination = {};

  /** Time after which a response is of less use, in milliseconds since the epoch. */
  #targetAt = Infinity;

  #isReturn = false;

  #team: string | undefined;

  #relayed: Relayed | undefined;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly log: RequestLog | undefined,
    private readonly onEnded: (ended: RequestEnd) => void,
    private readonly response?: PendingResponse,
  ) {
    this.startedAt = clock.now();
  }

  /** Adds a decision. It is written after the end of the request, if that is logged. */
  add(event: RequestEvent): void {
    if (!this.log) return;
    if (this.#decisions.length >= MAX_DECISIONS) this.#decisions.splice(1, 1);
    this.#decisions.push({ at: this.clock.now(), event });
  }

  routed(routed: Routed): void {
    this.destination = { route: routed.route, upstream: routed.upstream };
    this.#targetAt = this.startedAt + routed.targetMs;
    this.#isReturn = routed.waitedMs !== undefined;
    this.#team = routed.team;
    this.add(routed);
  }

  /** Adds that the response body has been relayed completely. */
  relayed(bytes: number, relayMs: number): void {
    this.#relayed = { bytes, relayMs: Math.round(relayMs) };
  }

  /** Ends the trace with the response of an upstream instance. */
  answered(event: 'entry-ended', response: SentResponse): void;
  answered(event: 'guard-ended', response: SentResponse, state: GuardState): void;
  answered(event: EndEvent['event'], { statusCode }: SentResponse, state?: GuardState): void {
    this.#end({ event, verdict: 'ran', reason: 'none', status: statusCode, ...state });
  }

  /** Ends the trace with a refusal, or with a response that was cut. */
  failed(event: 'entry-ended', response: SentResponse, outcome: OutcomeError, isCut: boolean): void;
  failed(
    event: 'guard-ended',
    response: SentResponse,
    outcome: OutcomeError,
    isCut: boolean,
    state: GuardState,
  ): void;
  failed(
    event: EndEvent['event'],
    { statusCode }: SentResponse,
    outcome: OutcomeError,
    isCut: boolean,
    state?: GuardState,
  ): void {
    const { reason, message, retryAt } = outcome;
    const now = this.clock.now();
    this.#end({
      event,
      verdict: isCut ? 'cut' : outcome.verdict,
      reason,
      message,
      status: statusCode,
      ...(retryAt !== undefined && { retryAfterMs: Math.max(0, Math.round(retryAt - now)) }),
      ...state,
    });
  }

  /** Writes the decisions about a request that the end of the process cuts. */
  writeUnfinished(hop: UnfinishedEvent['hop']): void {
    const unfinished: UnfinishedEvent = {
      event: 'unfinished',
      hop,
      ...this.destination,
      ...(this.response?.headersSent && { status: this.response.statusCode }),
      tookMs: Math.round(this.clock.now() - this.startedAt),
    };
    this.add(unfinished);
    this.log?.write(this.id, this.#decisions, unfinished);
  }

  #end(part: Omit<EndEvent, 'tookMs'>): void {
    const now = this.clock.now();
    const tookMs = Math.round(now - this.startedAt);
    const ended = {
      ...part,
      ...this.destination,
      ...(this.#team !== undefined && { team: this.#team }),
      ...this.#relayed,
      tookMs,
      ...(now > this.#targetAt && { isLate: true }),
      ...(this.#isReturn && { isReturn: true }),
    } as EndEvent;
    this.add(ended);
    this.log?.write(this.id, this.#decisions, ended);
    this.log?.forget(this);
    this.onEnded(ended);
  }
}

/**
 * Samples by a hash of the id, so that a request is logged at all of its hops or at none. Logging
 * every served request would take processor time away from the requests themselves.
 */
function isSampled(id: string): boolean {
  const hash = fnv1a(id);
  return ((hash ^ (hash >>> 16)) >>> 0) % SERVED_SAMPLE_INTERVAL === 0;
}

/** A request log that writes nothing. */
export function silentRequestLog(clock: Clock): RequestLog {
  return new RequestLog(new SilentLog(), clock);
}

function levelOf(ended: EndEvent | UnfinishedEvent): Level {
  return ended.event !== 'unfinished' && isServed(ended) ? 'debug' : 'warn';
}

/** Whether the caller got a complete response that is not a 5xx of the upstream instance. */
export function isServed({ verdict, status = 0 }: Pick<RequestEnd, 'verdict' | 'status'>): boolean {
  return verdict === 'ran' && status < SERVER_ERROR;
}
