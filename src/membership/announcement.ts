/** Periodic announcements of the local upstream instance, held as a lease. */
import * as z from 'zod';
import { Endpoint, type Drain } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { callEach } from '../runtime/faults.js';
import { type InstanceRun, isSameRun } from './instance_run.js';
import { type Roster } from './roster.js';

/** Body of `PUT /announcement`: the state of the local endpoint and the address it listens on. */
export const Announcement = Endpoint.omit({ drain: true }).extend({
  host: z.string(),
  port: z.number().int(),
  /** Id that the upstream instance has given itself. */
  id: z.string().optional(),
  /** Start time of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
  /** Remaining warm-up time after its start, in milliseconds; unknown when absent. */
  coldMs: z.number().optional(),
  /** Increases with each announcement of one run of the instance. */
  sequence: z.number().int().optional(),
});
export type Announcement = z.infer<typeof Announcement>;

/** Lease duration in milliseconds; upstreams announce several times within it. */
export const DEFAULT_LEASE_MS = 3_000;
/** `ready` counts as `down` for this long after a refused connection, in milliseconds. */
export const REFUSAL_HOLDOFF_MS = 1_000;
/** Longest sleep between two expiry checks, in milliseconds; each wake-up costs an idle process. */
const MAX_CHECK_INTERVAL_MS = 1_000;
/** A wake-up later than this, in milliseconds, means that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Tracks the state of the local endpoint. An upstream that crashes cannot announce that it is
 * down, so its announcements expire unless repeated. Each change is published to all processes
 * immediately.
 */
export class EndpointLease {
  #last: Announcement | undefined;

  #deadline = 0;

  #refusedUntil = 0;

  #isStopping = false;

  #drain: Drain | undefined;

  /** Whether the next `ready` announcement needs a second one to confirm it. */
  #needsConfirmation = false;

  /** Announcements received between `hold` and `release`; undefined when not holding. */
  #buffered: Announcement[] | undefined;

  /** Called with each drain, and whether it applies to the current run of the local endpoint. */
  onDrain: (run: InstanceRun, isLocal: boolean) => void = () => {};

  /** Whether the version of the upstream is published; only rollouts need it. */
  publishesVersion = false;

  readonly #listeners = new Set<(announcement: Announcement) => void>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
    private readonly leaseMs: number = DEFAULT_LEASE_MS,
  ) {}

  /** Whether any announcement has been received. */
  get isKnown(): boolean {
    return this.#last !== undefined || (this.#buffered?.length ?? 0) > 0;
  }

  /** Calls `listener` with each accepted announcement, and with state `down` at a lease's end. */
  onAnnouncement(listener: (announcement: Announcement) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Handles an announcement and renews the lease. An announcement that was delayed until after a
   * later one, or until after the start of a new run at the same address, is ignored: it would
   * make a draining endpoint ready again.
   */
  renew(announcement: Announcement): void {
    if (this.#buffered) {
      this.#buffered.push(announcement);
      return;
    }
    if (this.#last && isOutdated(announcement, this.#last)) return;
    if (this.#drain && isCoveredBy(announcement, this.#drain)) return;
    const now = this.clock.now();
    this.#deadline = now + this.leaseMs;
    if (this.#needsConfirmation && announcement.state === 'ready') {
      this.#needsConfirmation = this.#last === undefined;
      if (this.#needsConfirmation) {
        this.#set({ ...announcement, state: 'draining' });
        return;
      }
    }
    // A crashing upstream may still send announcements while its port refuses connections.
    const isRefusing = now < this.#refusedUntil && announcement.state === 'ready';
    this.#set(isRefusing ? { ...announcement, state: 'down' } : announcement);
  }

  /**
   * Publishes the endpoint as draining from now on, whatever is announced: the upstream instance
   * may still report itself ready while this process stops.
   */
  startDraining(): void {
    this.#isStopping = true;
    if (this.#last) this.#set(this.#last);
  }

  /** Drains an upstream instance that is leaving permanently, whatever that run announces later. */
  depart(run: InstanceRun): void {
    const last = this.#last;
    const born = run.born ?? (last?.id === run.id ? last.born : undefined);
    this.applyDrain({ id: run.id, ...(born !== undefined && { born }) });
  }

  /** Applies a drain that the local upstream instance announced here or to the previous process. */
  applyDrain(drain: Drain): void {
    this.#drain = drain;
    const last = this.#last;
    const isLocal = last !== undefined && isCoveredBy(last, drain);
    this.onDrain(drain, isLocal);
    if (!isLocal) return;
    this.#deadline = Infinity;
    this.#set({ ...last, state: 'draining' });
  }

  /**
   * Requires two `ready` announcements before the endpoint is published as ready. Called when its
   * health check declines work after a start of this process: it may have announced a drain to the
   * previous process, and no other process may know. A single `ready` may be a delayed one; an
   * endpoint that does accept work soon sends the next.
   */
  requireConfirmation(): void {
    this.#needsConfirmation = true;
    if (this.#last?.state === 'ready') this.#set({ ...this.#last, state: 'draining' });
  }

  /**
   * Buffers announcements until `release`. A process that has just started does not know yet which
   * drains the previous process received; a late announcement would make a draining endpoint ready.
   */
  hold(): void {
    this.#buffered ??= [];
  }

  /** Handles the buffered announcements, and from now on each one as it arrives. */
  release(): void {
    const buffered = this.#buffered ?? [];
    this.#buffered = undefined;
    for (const announcement of buffered) this.renew(announcement);
  }

  /** Ends the lease immediately because a connection to the upstream instance was refused. */
  connectionRefused(): void {
    this.#refusedUntil = this.clock.now() + REFUSAL_HOLDOFF_MS;
    this.#end();
  }

  /** Ends the lease when it is not renewed in time; runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wakeAt = Math.min(this.clock.now() + MAX_CHECK_INTERVAL_MS, this.#nextExpiry);
      await this.clock.sleepUntil(wakeAt, signal);
      const now = this.clock.now();
      // Announcements sent while this process was paused have not been read yet.
      if (now - wakeAt > PAUSE_THRESHOLD_MS) this.#deadline = now + this.leaseMs;
      if (now >= this.#deadline && !signal.aborted) this.#end();
    }
  }

  /** Instant at which the lease expires; `Infinity` if there is none. */
  get #nextExpiry(): number {
    return this.#last && this.#last.state !== 'down' ? this.#deadline : Infinity;
  }

  #end(): void {
    const last = this.#last;
    if (last && last.state !== 'down') this.#set({ ...last, state: 'down' });
  }

  #set(announcement: Announcement): void {
    this.#last = announcement;
    callEach('announcement', this.#listeners, announcement);
    const { upstream, slots } = announcement;
    const version = this.publishesVersion ? announcement.version : undefined;
    const isDraining = this.#isStopping && announcement.state !== 'down';
    const state = isDraining ? 'draining' : announcement.state;
    const drain = this.#drainToPublish(announcement);
    const published = this.roster.self.endpoint;
    const isSame =
      published?.upstream === upstream &&
      published.state === state &&
      published.slots === slots &&
      published.version === version &&
      (published.drain === undefined) === (drain === undefined);
    if (isSame) return;
    this.roster.setEndpoint({
      upstream,
      state,
      slots,
      ...(version !== undefined && { version }),
      ...(drain && { drain }),
    });
  }

  /**
   * The drain that the successor of this process has to apply; undefined if no later announcement
   * could be told from an earlier one and so end it.
   */
  #drainToPublish(announcement: Announcement): Drain | undefined {
    const { state, id, born, sequence } = announcement;
    if (state !== 'draining' || id === undefined) return undefined;
    if (this.#drain && isCoveredBy(announcement, this.#drain)) return this.#drain;
    if (sequence === undefined) return undefined;
    return { id, sequence, ...(born !== undefined && { born }) };
  }
}

/**
 * Whether an announcement is of the run that drains and does not come after the drain. Start times
 * and sequences that are unknown count as matching.
 */
function isCoveredBy(announcement: Announcement, drain: Drain): boolean {
  const { sequence } = announcement;
  if (!isSameRun(announcement, drain)) return false;
  return sequence === undefined || drain.sequence === undefined || sequence <= drain.sequence;
}

/** Whether `last` is of a later run, or later in the same run. */
function isOutdated(announcement: Announcement, last: Announcement): boolean {
  const { born, sequence } = announcement;
  if (born !== undefined && last.born !== undefined && born !== last.born) return born < last.born;
  if (announcement.id !== last.id) return false;
  return sequence !== undefined && last.sequence !== undefined && sequence <= last.sequence;
}
