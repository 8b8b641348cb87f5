/** Passes requests on in short turns, each after a look whether its caller is still there. */
import { type ServerResponse } from 'node:http';
import { notRun } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** How long requests are passed on at least before callers are looked at anew, in milliseconds. */
const TURN_MS = 25;
/** How long at most: so much older is what is known of the last of them. */
const LONGEST_TURN_MS = 150;
/** What was seen of a caller so short a time ago still holds, in milliseconds. */
const FRESH_MS = 10;

/** A request that waits for a look. */
interface Waiting {
  /** The first turn of which the look tells whether its caller is there. */
  readonly turn: number;
  readonly begin: () => void;
}

/**
 * Node reads the request first and the end of the connection right behind it a turn of its loop later.
 * A process that was late, paused or has just started would pass on what callers gave up long ago:
 * upstreams would work for nobody. Here each request waits until its connection has been read once
 * more, which is soon in a process that is in time. One that is late passes requests on for as long
 * as it has just read: what it knows of callers does not grow old, and nobody waits for its reading.
 */
export class Presence {
  #turn = 0;

  /** Instant at which the last turn ended, and the reading of connections began. */
  #lookedAt = 0;

  #isTurning = false;

  #line: Waiting[] = [];

  /** When the caller of an answer was last seen to be there. */
  readonly #seenAt = new WeakMap<ServerResponse, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Begins `work` once its caller is known to be there; rejects with `not-run` if it has gone. Called
   * when a request has come in, and again wherever it is passed on after a wait.
   *
   * @example
   * ```ts
   * await presence.pass(response, () => ask(endpoint));
   * ```
   */
  pass<T>(response: ServerResponse, work: () => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const begin = () => {
        this.#seenAt.set(response, this.clock.now());
        if (isGone(response)) reject(notRun('cancelled', 'the caller has gone'));
        else work().then(resolve, reject);
      };
      const seenAt = this.#seenAt.get(response);
      if (seenAt !== undefined && this.clock.now() - seenAt <= FRESH_MS) begin();
      else this.#wait(begin, seenAt === undefined);
    });
  }

  /** A connection of which the request has just been read has to be read once more first. */
  #wait(begin: () => void, isNew: boolean): void {
    this.#line.push({ turn: this.#turn + (isNew ? 2 : 1), begin });
    this.#turnSoon();
  }

  #turnSoon(): void {
    if (this.#isTurning) return;
    this.#isTurning = true;
    setImmediate(() => this.#look());
  }

  /** Runs right after connections have been read. */
  #look(): void {
    this.#isTurning = false;
    this.#turn += 1;
    const now = this.clock.now();
    const readMs = now - this.#lookedAt;
    this.#begin(now + Math.min(LONGEST_TURN_MS, Math.max(TURN_MS, readMs)));
    this.#lookedAt = this.clock.now();
    if (this.#line.length > 0) this.#turnSoon();
  }

  /** Those whose connections have been read since they came, in their order, as long as there is time. */
  #begin(until: number): void {
    const begun = new Set<Waiting>();
    for (const waiting of this.#line.filter(({ turn }) => turn <= this.#turn)) {
      if (this.clock.now() >= until) break;
      begun.add(waiting);
      waiting.begin();
    }
    // What has begun may have put others in line.
    this.#line = this.#line.filter((waiting) => !begun.has(waiting));
  }
}

/** Emitted by an answer when its caller ends the connection, some turns of the loop before `close`. */
export const GONE = 'gone';

/** Whether nobody waits for the answer any more. */
export function isGone({ destroyed, req }: ServerResponse): boolean {
  return destroyed || req.socket.destroyed || req.socket.readableEnded;
}

/**
 * Calls back, perhaps twice, when nobody waits for the answer any more; at once if that is so
 * already, since an answer that has closed does not say so again.
 */
export function whenGone(response: ServerResponse, callback: () => void): void {
  if (isGone(response)) {
    callback();
    return;
  }
  response.once(GONE, callback);
  response.once('close', callback);
}
