/** Passes requests on in short turns, each after a look whether its caller is still there. */
import { type ServerResponse } from 'node:http';
import { notRun } from '../contracts.js';

/** How long requests are passed on before callers are looked at anew, in milliseconds. */
const TURN_MS = 25;
/** What was seen of callers longer ago is looked at once more, in milliseconds. */
const STALE_MS = 100;
/** Looks that a busy process adds at most, so that requests do get on. */
const MAX_STALE_LOOKS = 2;

/** A request that waits for a look. */
interface Waiting {
  /** Turn in which it came. */
  readonly turn: number;
  readonly begin: () => void;
}

/**
 * Node reads the request first and the end of the connection right behind it a turn of its loop later.
 * A process that was late, paused or has just started would pass on what callers gave up long ago:
 * upstreams would work for nobody. Here each request waits until its connection has been read once
 * more, which is soon in a process that is in time. One that is late passes on few in a turn, so
 * that what it knows of the others does not grow old meanwhile.
 */
export class Presence {
  #turn = 0;

  /** Instant at which the last turn ended, and the reading of connections began. */
  #lookedAt = 0;

  #staleLooks = 0;

  #isTurning = false;

  #line: Waiting[] = [];

  /**
   * Begins `work` once its caller is known to be there; rejects with `not-run` if it has gone.
   *
   * @example
   * ```ts
   * await presence.pass(response, () => ask(endpoint));
   * ```
   */
  pass<T>(response: ServerResponse, work: () => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const begin = () => {
        if (isGone(response)) reject(notRun('cancelled', 'the caller has gone'));
        else work().then(resolve, reject);
      };
      this.#line.push({ turn: this.#turn, begin });
      this.#turnSoon();
    });
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
    const now = performance.now();
    if (this.#isStale(now)) this.#staleLooks += 1;
    else {
      this.#staleLooks = 0;
      this.#begin(now + TURN_MS);
    }
    this.#lookedAt = performance.now();
    if (this.#line.length > 0) this.#turnSoon();
  }

  #isStale(now: number): boolean {
    return now - this.#lookedAt > STALE_MS && this.#staleLooks < MAX_STALE_LOOKS;
  }

  /** Those that came in the turn before, whose connections have been read since. */
  #begin(until: number): void {
    let count = 0;
    for (const { turn, begin } of this.#line) {
      if (turn + 1 >= this.#turn || performance.now() >= until) break;
      begin();
      count += 1;
    }
    this.#line = this.#line.slice(count);
  }
}

/** Whether nobody waits for the answer any more. */
export function isGone({ destroyed, req }: ServerResponse): boolean {
  return destroyed || req.socket.destroyed || req.socket.readableEnded;
}
