/** Starts the work of requests in short batches, after checking that their callers are connected. */
import { type ServerResponse } from 'node:http';
import { notRun } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Least time a batch may take before connections are read again, in milliseconds. */
const MIN_BATCH_MS = 25;
/** Most time a batch may take, in milliseconds: the check of its last request is that much older. */
const MAX_BATCH_MS = 150;
/** A caller seen to be connected this recently is not checked again, in milliseconds. */
const RECENTLY_SEEN_MS = 10;
/** A longer wait for the check is reported, in milliseconds. */
const LONG_WAIT_MS = 100;
/** Minimum time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** A request that waits for the check. */
interface QueuedRequest {
  /** Number of the first batch before which its connection has been read again. */
  readonly batch: number;
  /** In milliseconds since the epoch. */
  readonly queuedAt: number;
  readonly start: () => void;
}

/**
 * Node reads a request first, and the end of its connection one iteration of the event loop later. A
 * process that lags, was paused or has just started would forward requests whose callers gave up long
 * ago, and upstreams would work for nobody. So each request waits until its connection has been read
 * once more, which is soon in a process that keeps up. In one that lags, a batch may take as long as
 * the reading before it: its knowledge of callers stays fresh, and reading does not hold up requests.
 */
export class DisconnectCheck {
  /** Called for a request that waited long, with the number of those that still wait. */
  onLongWait: (waitedMs: number, waiting: number) => void = () => {};

  #reportedAt = 0;

  #batch = 0;

  /** Instant at which the last batch ended and Node began to read connections again. */
  #lastBatchEndedAt = 0;

  #isScheduled = false;

  #queue: QueuedRequest[] = [];

  /** Instant at which the caller of a response was last seen to be connected. */
  readonly #lastSeenAt = new WeakMap<ServerResponse, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Starts `work` once its caller is known to be connected; rejects with `not-run` if it is not.
   * Called when a request has arrived, and again wherever it is forwarded after a wait.
   *
   * @example
   * ```ts
   * await disconnectCheck.runIfConnected(response, () => sendTo(endpoint));
   * ```
   */
  runIfConnected<T>(response: ServerResponse, work: () => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const start = () => {
        this.#lastSeenAt.set(response, this.clock.now());
        if (isGone(response)) reject(notRun('cancelled', 'caller disconnected'));
        else work().then(resolve, reject);
      };
      const lastSeenAt = this.#lastSeenAt.get(response);
      if (lastSeenAt !== undefined && this.clock.now() - lastSeenAt <= RECENTLY_SEEN_MS) start();
      else this.#enqueue(start, lastSeenAt === undefined);
    });
  }

  /** A connection whose request has just been read must be read once more than others. */
  #enqueue(start: () => void, isNew: boolean): void {
    const batch = this.#batch + (isNew ? 2 : 1);
    this.#queue.push({ batch, queuedAt: this.clock.now(), start });
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#runBatch());
  }

  /** Runs right after Node has read the connections. */
  #runBatch(): void {
    this.#isScheduled = false;
    this.#batch += 1;
    const now = this.clock.now();
    const elapsedMs = now - this.#lastBatchEndedAt;
    this.#startQueued(now + Math.min(MAX_BATCH_MS, Math.max(MIN_BATCH_MS, elapsedMs)));
    this.#lastBatchEndedAt = this.clock.now();
    if (this.#queue.length > 0) this.#schedule();
  }

  /** Starts the requests whose connections have been read again, in order, until the time is used up. */
  #startQueued(until: number): void {
    const started = new Set<QueuedRequest>();
    for (const queued of this.#queue.filter(({ batch }) => batch <= this.#batch)) {
      const now = this.clock.now();
      if (now >= until) break;
      this.#reportLongWait(now - queued.queuedAt, now);
      started.add(queued);
      queued.start();
    }
    // The started work may have queued further requests.
    this.#queue = this.#queue.filter((queued) => !started.has(queued));
  }

  #reportLongWait(waitedMs: number, now: number): void {
    if (waitedMs < LONG_WAIT_MS || now < this.#reportedAt + REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    this.onLongWait(waitedMs, this.#queue.length);
  }
}

/** Emitted by a response when its caller ends the connection, some event loop iterations before `close`. */
export const GONE = 'gone';

/** Whether the caller that waits for the response has disconnected. */
export function isGone({ destroyed, req }: ServerResponse): boolean {
  return destroyed || req.socket.destroyed || req.socket.readableEnded;
}

/**
 * Calls back, possibly twice, when the caller disconnects; at once if it already has, since a closed
 * response emits no further event.
 */
export function whenGone(response: ServerResponse, callback: () => void): void {
  if (isGone(response)) {
    callback();
    return;
  }
  response.once(GONE, callback);
  response.once('close', callback);
}
