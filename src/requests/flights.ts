/** The requests in flight at the upstream instance beside this process, and what it died of. */
import { connect } from 'node:net';
import { type Readable } from 'node:stream';
import { type Clock } from '../runtime/clock.js';
import { type Quarantine } from './quarantine.js';
import {
  type FingerprintedMessage,
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

/** Tells whether a new connection is refused, which proves that nobody listens any more. */
export type RefusalProbe = (whereabouts: Whereabouts) => Promise<boolean>;

/** How long the others of the same death have to fail too, in milliseconds. */
const GATHER_MS = 50;
const PROBE_TIMEOUT_MS = 500;

/** One request in flight. Nothing is digested unless it has to be. */
export class Flight {
  readonly #prefix: Buffer[] = [];

  #length = 0;

  constructor(
    private readonly upstream: string,
    private readonly request: FingerprintedMessage,
    body: Readable,
  ) {
    if (needsBody(request)) body.on('data', this.#keep);
  }

  get fingerprint(): string {
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

  #isExamining = false;

  constructor(
    private readonly quarantine: Quarantine,
    private readonly clock: Clock,
    private readonly isRefused: RefusalProbe = probe,
  ) {}

  /** Called in the same turn in which the body begins to flow to the upstream. */
  begin(upstream: string, request: FingerprintedMessage, body: Readable): Flight {
    return new Flight(upstream, request, body);
  }

  /** The upstream has answered in whole, and not with an error of its own. */
  answered(flight: Flight): void {
    if (!this.quarantine.isIdle) this.quarantine.completed(flight.fingerprint);
  }

  /** The exchange broke after the request had been handed over. */
  broke(flight: Flight, upstream: string, whereabouts: Whereabouts): void {
    this.#broken.add(flight);
    if (!this.#isExamining) void this.#examine(upstream, whereabouts);
  }

  async #examine(upstream: string, whereabouts: Whereabouts): Promise<void> {
    this.#isExamining = true;
    const isDead = await this.isRefused(whereabouts);
    if (isDead) await this.clock.sleepUntil(this.clock.now() + GATHER_MS);
    const suspects = [...this.#broken].map(({ fingerprint }) => fingerprint);
    this.#broken = new Set();
    this.#isExamining = false;
    if (isDead) this.quarantine.died(upstream, suspects);
  }
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
