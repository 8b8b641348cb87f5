/** A request as a guard receives it from an entry, with its headers parsed. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Job } from '../admission/concurrency_limiter.js';
import { type Reservation } from '../admission/uplink.js';
import { type Configuration } from '../configuration/configuration.js';
import { type Endpoint, MAX_TIMEOUT_MS } from '../contracts.js';
import { type Trace } from '../logs/request_log.js';
import { headerOf, LIMIT, nameOf, PRIORITY, REMAINING, ROUTE, TARGET, TEAM } from './headers.js';
import { whenGone } from './disconnect_check.js';

const DEFAULT_REMAINING_MS = 10_000;
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;

/** The upstream instance beside this process, from its latest announcement. */
export interface AnnouncedEndpoint extends Endpoint {
  readonly host: string;
  readonly port: number;
  /** The id that the instance gave itself. */
  readonly id?: string | undefined;
  /** Its start time, in milliseconds since the epoch. */
  readonly born?: number | undefined;
  /** Remaining warm-up time after its start, in milliseconds; unknown when absent. */
  readonly coldMs?: number | undefined;
}

/** A request received from an entry. */
export interface GuardRequest extends Job {
  /** Name of the route. */
  readonly kind: string;
  /** Instant until which a response is of full use, in milliseconds since the epoch. */
  readonly targetAt: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly announced: AnnouncedEndpoint;
  readonly trace: Trace;
  /** The place reserved on the uplink for its response, if that is expected to be large. */
  reservation?: Reservation | undefined;
}

/** A request as it arrived, before its headers are parsed. */
export interface Arrival extends Pick<GuardRequest, 'request' | 'response' | 'trace'> {
  /** Time of arrival, in milliseconds since the epoch; the remaining time in its headers counts from here. */
  readonly at: number;
}

/** Parses the headers that the entry has added to the request. */
export function guardRequestOf(
  { request, response, trace, at }: Arrival,
  announced: AnnouncedEndpoint,
  configuration: Configuration,
): GuardRequest {
  const remaining = parseBounded(
    headerOf(request, REMAINING),
    DEFAULT_REMAINING_MS,
    MAX_TIMEOUT_MS,
  );
  const priority = parseBounded(headerOf(request, PRIORITY), DEFAULT_PRIORITY, MAX_PRIORITY);
  const named = nameOf(request, LIMIT);
  return {
    request,
    response,
    trace,
    announced,
    priority: Math.floor(priority),
    kind: nameOf(request, ROUTE) ?? '',
    team: nameOf(request, TEAM),
    targetAt: at + Number(headerOf(request, TARGET) ?? remaining),
    deadline: at + remaining,
    limit: named === undefined ? undefined : configuration.find('limit', named),
    onGone: (callback) => whenGone(response, callback),
  };
}

/** Tells a sender that waits for it before it sends its body that it may. */
export function sendContinue(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers.expect !== undefined) response.writeContinue();
}

/** A number from 0 to `most`: larger ones are clamped, invalid and negative ones give `otherwise`. */
function parseBounded(text: string | undefined, otherwise: number, most: number): number {
  const value = Number(text ?? otherwise);
  return value >= 0 ? Math.min(value, most) : otherwise;
}
