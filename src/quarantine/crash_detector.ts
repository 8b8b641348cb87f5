/** Detects crashes of the upstream instance beside this process, and the requests suspected of them. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { asOutcome } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type PeekResult, peekBody } from '../claims/fingerprint.js';
import { type Quarantine } from './quarantine.js';
import {
  headFingerprint,
  MAX_DIGESTED_BYTES,
  needsBody,
  wholeFingerprint,
} from './request_fingerprint.js';

/** Address on which the upstream instance listens. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

/** The part of an upstream instance's announcement that crash detection needs. */
export interface AnnouncedUpstream extends UpstreamAddress {
  readonly upstream: string;
}

/** An exchange to watch for a crash of the upstream instance. */
export interface WatchedExchange {
  readonly announced: AnnouncedUpstream;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** The name of the service that sent a request; empty if callers have no names. */
export type CallerLookup = (request: Pick<IncomingMessage, 'headers'>) => string;

/** Resolves to whether a new connection is refused, which proves that nothing listens any more. */
export type RefusalProbe = (address: UpstreamAddress) => Promise<boolean>;

/** Time for the other requests in flight at the same crash to fail too, in milliseconds. */
const GATHER_WINDOW_MS = 50;
const PROBE_TIMEOUT_MS = 500;
const FIRST_SERVER_ERROR = 500;
const TOO_MANY_REQUESTS = 429;
const MAX_PORT = 65_535;

/** A request in flight. Its fingerprint is computed only when it is needed. */
class InFlightRequest {
  readonly #prefix: Buffer[] = [];

  #length = 0;

  constructor(
    private readonly upstream: string,
    private readonly request: IncomingMessage,
    /** The fingerprint, if the beginning of the body was read to compute it. */
    private readonly knownFingerprint: string | undefined,
    private readonly callerOf: CallerLookup,
  ) {
    if (knownFingerprint === undefined && needsBody(request))
      request.on('data', this.#collectPrefix);
  }

  get fingerprint(): string {
    if (this.knownFingerprint !== undefined) return this.knownFingerprint;
    const head = headFingerprint(this.upstream, this.request, this.callerOf(this.request));
    return needsBody(this.request) ? wholeFingerprint(head, this.#prefix) : head;
  }

  readonly #collectPrefix = (chunk: Buffer): void => {
    if (this.#length >= MAX_DIGESTED_BYTES) return;
    this.#prefix.push(chunk.subarray(0, MAX_DIGESTED_BYTES - this.#length));
    this.#length += chunk.length;
  };
}

/**
 * A broken connection proves little: the upstream instance may have closed just that one. Only if a new
 * connection is refused as well has the instance crashed, with the broken requests in flight.
 */
export class CrashDetector {
  #broken = new Set<InFlightRequest>();

  readonly #knownFingerprints = new WeakMap<IncomingMessage, string>();

  #isInvestigating = false;

  constructor(
    private readonly quarantine: Quarantine,
    private readonly clock: Clock,
    private readonly callerOf: CallerLookup = () => '',
    private readonly isRefused: RefusalProbe = isConnectionRefused,
  ) {}

  /**
   * Throws `quarantined` for a quarantined request. Resolves to the body if its beginning had to be
   * read for the check: it must then be forwarded from there.
   */
  async admit(
    upstream: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<PeekResult | undefined> {
    const { quarantine } = this;
    if (quarantine.isIdle) return undefined;
    const head = headFingerprint(upstream, request, this.callerOf(request));
    quarantine.check(head);
    if (!quarantine.needsBody(head) || !needsBody(request)) return undefined;
    if (request.headers.expect !== undefined) response.writeContinue();
    const peeked = await peekBody(request);
    const fingerprint = wholeFingerprint(head, peeked.prefix);
    quarantine.check(fingerprint);
    this.#knownFingerprints.set(request, fingerprint);
    return peeked;
  }

  /**
   * Runs an exchange and, if its connection breaks, checks whether the upstream instance has crashed.
   * The exchange must begin to read the body synchronously.
   */
  async watch<T>(
    { announced, request, response }: WatchedExchange,
    exchange: () => Promise<T>,
  ): Promise<T> {
    const inFlight = new InFlightRequest(
      announced.upstream,
      request,
      this.#knownFingerprints.get(request),
      this.callerOf,
    );
    try {
      const result = await exchange();
      if (provesSuccess(response.statusCode)) this.#onSuccess(inFlight);
      return result;
    } catch (error) {
      const { verdict, reason } = asOutcome(error);
      if (verdict !== 'not-run' && reason !== 'cancelled') this.#onBroken(inFlight, announced);
      throw error;
    }
  }

  #onSuccess(inFlight: InFlightRequest): void {
    if (!this.quarantine.isIdle) this.quarantine.recordSuccess(inFlight.fingerprint);
  }

  #onBroken(inFlight: InFlightRequest, announced: AnnouncedUpstream): void {
    this.#broken.add(inFlight);
    if (!this.#isInvestigating) runInBackground('crash detection', this.#investigate(announced));
  }

  async #investigate(announced: AnnouncedUpstream): Promise<void> {
    this.#isInvestigating = true;
    let broken: ReadonlySet<InFlightRequest>;
    let hasCrashed = false;
    try {
      hasCrashed = await this.isRefused(announced);
      if (hasCrashed) await this.clock.sleepUntil(this.clock.now() + GATHER_WINDOW_MS);
    } finally {
      broken = this.#broken;
      this.#broken = new Set();
      this.#isInvestigating = false;
    }
    const suspects = [...broken].map(({ fingerprint }) => fingerprint);
    if (hasCrashed) this.quarantine.recordDeath(announced.upstream, suspects);
  }
}

/** Whether a response clears the request; a 429 does not, as the instance has not run it for lack of capacity. */
function provesSuccess(status: number): boolean {
  return status < FIRST_SERVER_ERROR && status !== TOO_MANY_REQUESTS;
}

async function isConnectionRefused({ host, port }: UpstreamAddress): Promise<boolean> {
  // Node throws for a port that cannot exist; nothing has run there that could have crashed.
  if (port < 0 || port > MAX_PORT) return false;
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
