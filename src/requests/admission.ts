/** What a guard knows of a request that an entry has handed over. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Ticket } from '../admission/limit.js';
import { type Departure } from '../admission/uplink.js';
import { type Configuration } from '../configuration/configuration.js';
import { type Endpoint, MAX_TIMEOUT_MS } from '../contracts.js';
import { type Trace } from '../logs/request_log.js';
import { headerOf, LIMIT, PRIORITY, REMAINING, ROUTE, TARGET } from './headers.js';
import { whenGone } from './presence.js';

const DEFAULT_REMAINING_MS = 10_000;
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;

/** The upstream instance beside this process, as it last announced itself. */
export interface Announced extends Endpoint {
  readonly host: string;
  readonly port: number;
  /** The id by which it knows itself. */
  readonly id?: string | undefined;
  /** How much longer it is slow after its start, in milliseconds; unknown when absent. */
  readonly coldMs?: number | undefined;
}

/** A request that came from an entry. */
export interface Admission extends Ticket {
  /** Name of the route. */
  readonly kind: string;
  readonly targetAt: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly announced: Announced;
  readonly trace: Trace;
  /** The place of its answer on the link, if that will be heavy. */
  departure?: Departure | undefined;
}

/** What it came with. */
export interface Arrival extends Pick<Admission, 'request' | 'response' | 'trace'> {
  /** In milliseconds since the epoch; what it waits from then on counts into its time. */
  readonly at: number;
}

/** Reads what the entry says of the request. */
export function admissionOf(
  { request, response, trace, at }: Arrival,
  announced: Announced,
  configuration: Configuration,
): Admission {
  const remaining = within(headerOf(request, REMAINING), DEFAULT_REMAINING_MS, MAX_TIMEOUT_MS);
  const priority = within(headerOf(request, PRIORITY), DEFAULT_PRIORITY, MAX_PRIORITY);
  const named = headerOf(request, LIMIT);
  return {
    request,
    response,
    trace,
    announced,
    priority: Math.floor(priority),
    kind: headerOf(request, ROUTE) ?? '',
    targetAt: at + Number(headerOf(request, TARGET) ?? remaining),
    deadline: at + remaining,
    limit: named === undefined ? undefined : configuration.find('limit', named),
    onGone: (callback) => whenGone(response, callback),
  };
}

function within(text: string | undefined, otherwise: number, most: number): number {
  const value = Number(text ?? otherwise);
  return value >= 0 ? Math.min(value, most) : otherwise;
}
