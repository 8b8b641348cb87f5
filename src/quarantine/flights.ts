/** The requests in flight at the upstream instance beside this process, and what it died of. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { asOutcome } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Opening, openBody } from '../claims/fingerprint.js';
import { type Quarantine } from './quarantine.js';
import {
  headFingerprint,
  MAX_DIGESTED_BYTES,
  needsBody,
  wholeFingerprint,
} from './request_fingerprint.js';

/** Where the upstream instance listens. */
export interface Whereabouts {
  readonly host: string;
  readonly port: number;
}

/** What an upstream instance has announced, as far as it is needed here. */
export interface Announcement extends Whereabouts {
  readonly upstream: string;
}

/** An exchange with the upstream instance. */
export interface Watched {
  readonly announced: Announcement;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Tells whether a new connection is refused, which proves that nobody listens any more. */
export type RefusalProbe = (whereabouts: Whereabouts) => Promise<boolean>;

/** How long the others of the same death have to fail too, in milliseconds. */
const GATHER_MS = 50;
const PROBE_TIMEOUT_MS = 500;
const FIRST_SERVER_ERROR = 500;
const TOO_MANY_REQUESTS = 429;

/** One request in flight. Nothing is digested unless it has to be. */
class Flight {
  readonly #prefix: Buffer[] = [];

  #length = 0;

  constructor(
    private readonly upstream: string,
    private readonly request: IncomingMessage,
    /** The fingerprint, if the body was opened to find it out. */
    private readonly known: string | undefined,
  ) {
    if (known === undefined && needsBody(request)) request.on('data', this.#keep);
  }

  get fingerprint(): string {
    if (this.known !== undefined) return this.known;
    const head = headFingerprint(this.upstream, this.request);
    return needsBody(this.request) ? wholeFingerprint(head, this.#prefix) : head;
  }

  readonly #keep = (chunk: Buffer): void => {
    if (this.#length >= MAX_DIGESTED_BYTES) return;
    this.#prefix.push(chunk.subarray(0, MAX_DIGESTED_BYTES - this.#length));
    this.#length += chunk.length;
  };
}

/**
 * A connection that breaks says little: the upstream may have closed just that one. Only when a
 * new connection is refused as well has the upstream died, and what broke then was in flight.
 */
export class Flights {
  #broken = new Set<Flight>();

  readonly #known = new WeakMap<IncomingMessage, string>();

  #isExamining = false;

  constructor(
    private readonly quarantine: Quarantine,
    private readonly clock: Clock,
    private readonly isRefused: RefusalProbe = probe,
  ) {}

  /**
   * Throws `quarantined` for a request that is kept out. Resolves to the body if it had to be
   * opened to find that out: it is then to be sent on from there.
   */
  async admit(
    upstream: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Opening | undefined> {
    const { quarantine } = this;
    if (quarantine.isIdle) return undefined;
    const head = headFingerprint(upstream, request);
    quarantine.check(head);
    if (!quarantine.needsBody(head) || !needsBody(request)) return undefined;
    if (request.headers.expect !== undefined) response.writeContinue();
    const opening = await openBody(request);
    const fingerprint = wholeFingerprint(head, opening.prefix);
    quarantine.check(fingerprint);
    this.#known.set(request, fingerprint);
    return opening;
  }

  /**
   * Carries out an exchange whose body begins to flow in the turn of the call, and looks into the
   * death of the upstream instance if it breaks.
   */
  async watch<T>(
    { announced, request, response }: Watched,
    exchange: () => Promise<T>,
  ): Promise<T> {
    const flight = new Flight(announced.upstream, request, this.#known.get(request));
    try {
      const result = await exchange();
      if (isGood(response.statusCode)) this.#answered(flight);
      return result;
    } catch (error) {
      const { verdict, reason } = asOutcome(error);
      if (verdict !== 'not-run' && reason !== 'cancelled') this.#broke(flight, announced);
      throw error;
    }
  }

  #answered(flight: Flight): void {
    if (!this.quarantine.isIdle) this.quarantine.completed(flight.fingerprint);
  }

  #broke(flight: Flight, announced: Announcement): void {
    this.#broken.add(flight);
    if (!this.#isExamining) void this.#examine(announced);
  }

  async #examine(announced: Announcement): Promise<void> {
    this.#isExamining = true;
    const isDead = await this.isRefused(announced);
    if (isDead) await this.clock.sleepUntil(this.clock.now() + GATHER_MS);
    const suspects = [...this.#broken].map(({ fingerprint }) => fingerprint);
    this.#broken = new Set();
    this.#isExamining = false;
    if (isDead) this.quarantine.died(announced.upstream, suspects);
  }
}

/** An upstream instance that had no room has not run the request, so it is not cleared by that. */
function isGood(status: number): boolean {
  return status < FIRST_SERVER_ERROR && status !== TOO_MANY_REQUESTS;
}

function probe({ host, port }: Whereabouts): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
