/** Gathers the decisions about each request until it is known how it ended. */
import { type ServerResponse } from 'node:http';
import { type OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { fnv1a } from '../runtime/hash.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type RequestEvent } from './events.js';
import { type Level, type Log, SilentLog } from './log.js';

/** Decisions kept for one request; those of the last attempts say how it ended. */
const MAX_DECISIONS = 24;
/** One of so many served requests is written, the same at all hops; of those not served all are. */
const SERVED_SAMPLE_INTERVAL = 16;
/** Served requests of which a process writes lines at most, in a second. */
const SERVED_PER_SECOND = 20;
/** Refused requests of which it writes all decisions, in a second. */
const REFUSED_PER_SECOND = 20;
/** Refused requests beyond those of which it writes the end, in a second: storms come cheap. */
const REFUSED_ENDS_PER_SECOND = 200;

type EndEvent = Extract<RequestEvent, { readonly event: 'entry-ended' | 'guard-ended' }>;
/** How a request ended at one hop. */
export type RequestEnd = Pick<
  EndEvent,
  | 'verdict'
  | 'reason'
  | 'status'
  | 'tookMs'
  | 'route'
  | 'upstream'
  | 'isLate'
  | 'isReturn'
  | 'bytes'
  | 'relayMs'
>;

type Routed = Extract<RequestEvent, { readonly event: 'routed' }>;
/** The answer that the caller got. */
type SentResponse = Pick<ServerResponse, 'statusCode'>;

/** What only the hop beside an upstream instance knows. */
export interface GuardState {
  readonly exchange: string;
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  readonly leavingMs: number;
}

/** How the body of an answer was passed on. */
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

  /** Requests whose lines were left out since the start, by the bounds above. */
  leftOut = 0;

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    /** Called with the end of each request, whether or not lines of it are written. */
    private readonly onEnded: (ended: RequestEnd) => void = () => {},
  ) {
    this.#served = new TokenBucket(clock, SERVED_PER_SECOND, SERVED_PER_SECOND);
    this.#refused = new TokenBucket(clock, REFUSED_PER_SECOND, REFUSED_PER_SECOND);
    this.#refusedEnds = new TokenBucket(clock, REFUSED_ENDS_PER_SECOND, REFUSED_ENDS_PER_SECOND);
  }

  /** Begins with the request that its caller calls `id`. */
  begin(id: string): Trace {
    return new Trace(id, this.clock, this.log.isEnabled('warn') ? this : undefined, this.onEnded);
  }

  /** Writes the decisions about a request that has ended. */
  write(id: string, decisions: readonly Decision[], ended: EndEvent): void {
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

  /** What it is about, as far as that is known. */
  about: Destination = {};

  /** Until when an answer is of full use, in milliseconds since the epoch. */
  #targetAt = Infinity;

  #isReturn = false;

  #relayed: Relayed | undefined;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly log: RequestLog | undefined,
    private readonly onEnded: (ended: RequestEnd) => void,
  ) {
    this.startedAt = clock.now();
  }

  /** Keeps a decision. It is written when the request has ended: whether it matters shows then. */
  note(event: RequestEvent): void {
    if (!this.log) return;
    if (this.#decisions.length >= MAX_DECISIONS) this.#decisions.splice(1, 1);
    this.#decisions.push({ at: this.clock.now(), event });
  }

  routed(routed: Routed): void {
    this.about = { route: routed.route, upstream: routed.upstream };
    this.#targetAt = this.startedAt + routed.targetMs;
    this.#isReturn = routed.waitedMs !== undefined;
    this.note(routed);
  }

  /** Notes that the body of the answer has been passed on whole. */
  relayed(bytes: number, relayMs: number): void {
    this.#relayed = { bytes, relayMs: Math.round(relayMs) };
  }

  /** Ends it with the answer of an upstream instance. */
  answered(event: 'entry-ended', response: SentResponse): void;
  answered(event: 'guard-ended', response: SentResponse, hop: GuardState): void;
  answered(event: EndEvent['event'], { statusCode }: SentResponse, hop?: GuardState): void {
    this.#end({ event, verdict: 'ran', reason: 'none', status: statusCode, ...hop });
  }

  /** Ends it with a refusal, or with an answer that was cut. */
  failed(event: 'entry-ended', response: SentResponse, outcome: OutcomeError, isCut: boolean): void;
  failed(
    event: 'guard-ended',
    response: SentResponse,
    outcome: OutcomeError,
    isCut: boolean,
    hop: GuardState,
  ): void;
  failed(
    event: EndEvent['event'],
    { statusCode }: SentResponse,
    outcome: OutcomeError,
    isCut: boolean,
    hop?: GuardState,
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
      ...hop,
    });
  }

  #end(part: Omit<EndEvent, 'tookMs'>): void {
    const now = this.clock.now();
    const tookMs = Math.round(now - this.startedAt);
    const ended = {
      ...part,
      ...this.about,
      ...this.#relayed,
      tookMs,
      ...(now > this.#targetAt && { isLate: true }),
      ...(this.#isReturn && { isReturn: true }),
    } as EndEvent;
    this.note(ended);
    this.log?.write(this.id, this.#decisions, ended);
    this.onEnded(ended);
  }
}

/**
 * By the id, so that the lines of a request that was carried over several hops are there whole or not at
 * all. Lines of every one would take processor time that the next request lacks.
 */
function isSampled(id: string): boolean {
  const hash = fnv1a(id);
  return ((hash ^ (hash >>> 16)) >>> 0) % SERVED_SAMPLE_INTERVAL === 0;
}

/** Keeps nothing, for processes that write no lines. */
export function silentRequests(clock: Clock): RequestLog {
  return new RequestLog(new SilentLog(), clock);
}

function levelOf(ended: EndEvent): Level {
  return isServed(ended) ? 'debug' : 'warn';
}

/** Whether the caller got a whole answer that is no failure of the upstream instance. */
export function isServed({ verdict, status = 0 }: Pick<RequestEnd, 'verdict' | 'status'>): boolean {
  return verdict === 'ran' && status < SERVER_ERROR;
}
