/** What the upstream instance beside a process says of itself, again and again. */
import * as z from 'zod';
import { Endpoint, type Drain } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Roster } from './roster.js';

/** Body of `PUT /announcement`: the endpoint, and where this process reaches it. */
export const Announcement = Endpoint.omit({ drain: true }).extend({
  host: z.string(),
  port: z.number().int(),
  /** The id by which the upstream instance knows itself. */
  id: z.string().optional(),
  /** Start of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
  /** How much longer it is slow after its start, in milliseconds; unknown when absent. */
  coldMs: z.number().optional(),
  /** Rises with each announcement of one life. */
  sequence: z.number().int().optional(),
});
export type Announcement = z.infer<typeof Announcement>;

/** One life of an upstream instance. */
export type Life = Pick<Drain, 'id' | 'born'>;

/** An announcement holds for this long, in milliseconds; upstreams repeat it several times. */
export const LEASE_MS = 3_000;
/** Announcements do not bring back an endpoint that has just refused, for so long. */
export const REFUSED_MS = 1_000;
/** Longest sleep between two looks, in milliseconds: each wake-up costs an idle process. */
const CHECK_EVERY_MS = 1_000;
/** Waking up so much too late means that the process was paused, in milliseconds. */
const PAUSED_MS = 1_000;

/**
 * An upstream that crashes cannot say that it is down, so what it announces is a lease. Each
 * change goes out to all processes at once.
 */
export class EndpointLease {
  #last: Announcement | undefined;

  #deadline = 0;

  #refusedUntil = 0;

  #isLeaving = false;

  #drain: Drain | undefined;

  /** Whether one `ready` is not enough to be believed. */
  #isDoubted = false;

  /** Announcements that came before the neighbours were heard. */
  #held: Announcement[] | undefined;

  /** Called with each drain, and whether it is that of the endpoint beside. */
  onDrain: (life: Life, isBeside: boolean) => void = () => {};

  /** Whether the others hear of its version; only roll-outs need it. */
  tellsVersion = false;

  readonly #listeners = new Set<(announcement: Announcement) => void>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
    private readonly leaseMs: number = LEASE_MS,
  ) {}

  /** Whether anything was announced so far. */
  get isKnown(): boolean {
    return this.#last !== undefined || (this.#held?.length ?? 0) > 0;
  }

  /** Calls `listener` with each announcement taken, and with the state `down` if it ends. */
  onTaken(listener: (announcement: Announcement) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Takes an announcement and renews the lease. One that was held up on its way, and overtaken by
   * a later one or by a new life at the same address, would bring back what is leaving: it changes
   * nothing.
   */
  take(announcement: Announcement): void {
    if (this.#held) {
      this.#held.push(announcement);
      return;
    }
    if (this.#last && isOvertaken(announcement, this.#last)) return;
    if (this.#drain && isBound(announcement, this.#drain)) return;
    const now = this.clock.now();
    this.#deadline = now + this.leaseMs;
    if (this.#isDoubted && announcement.state === 'ready') {
      this.#isDoubted = this.#last === undefined;
      if (this.#isDoubted) {
        this.#set({ ...announcement, state: 'draining' });
        return;
      }
    }
    // An upstream that is dying may still announce itself while its port refuses.
    const isRefusing = now < this.#refusedUntil && announcement.state === 'ready';
    this.#set(isRefusing ? { ...announcement, state: 'down' } : announcement);
  }

  /**
   * From now on the endpoint drains, whatever is announced: the upstream instance may still call
   * itself ready while the process beside it stops.
   */
  leave(): void {
    this.#isLeaving = true;
    if (this.#last) this.#set(this.#last);
  }

  /** Takes note that an upstream instance leaves for good: it drains, whatever it says later. */
  depart(life: Life): void {
    const last = this.#last;
    const born = life.born ?? (last?.id === life.id ? last.born : undefined);
    this.recall({ id: life.id, ...(born !== undefined && { born }) });
  }

  /** Is bound by what the upstream instance beside said when it left, here or to an earlier process. */
  recall(drain: Drain): void {
    this.#drain = drain;
    const last = this.#last;
    const isBeside = last !== undefined && isBound(last, drain);
    this.onDrain(drain, isBeside);
    if (!isBeside) return;
    this.#deadline = Infinity;
    this.#set({ ...last, state: 'draining' });
  }

  /**
   * The endpoint has declined a look, after a start of this process: it may have told the one before
   * that it drains, and nobody is left who knows. One report that it is ready may have been held up
   * on its way; it is believed with the next, which an endpoint that does take work sends soon.
   */
  doubt(): void {
    this.#isDoubted = true;
    if (this.#last?.state === 'ready') this.#set({ ...this.#last, state: 'draining' });
  }

  /**
   * Takes no announcement until `release`. A process that starts does not know yet what was said to
   * the one before it; a report that was held up on its way would bring back what drains already.
   */
  hold(): void {
    this.#held ??= [];
  }

  /** Takes what came meanwhile, and whatever comes from now on. */
  release(): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    for (const announcement of held) this.take(announcement);
  }

  /** Ends the lease at once: a connection to the upstream instance was refused. */
  refused(): void {
    this.#refusedUntil = this.clock.now() + REFUSED_MS;
    this.#end();
  }

  /** Ends the lease when announcements stay away, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wakeAt = Math.min(this.clock.now() + CHECK_EVERY_MS, this.#due);
      await this.clock.sleepUntil(wakeAt, signal);
      const now = this.clock.now();
      // After a pause of this process the announcements of that time are still unread.
      if (now - wakeAt > PAUSED_MS) this.#deadline = now + this.leaseMs;
      if (now >= this.#deadline && !signal.aborted) this.#end();
    }
  }

  /** When the lease runs out; never while there is none. */
  get #due(): number {
    return this.#last && this.#last.state !== 'down' ? this.#deadline : Infinity;
  }

  #end(): void {
    const last = this.#last;
    if (last && last.state !== 'down') this.#set({ ...last, state: 'down' });
  }

  #set(announcement: Announcement): void {
    this.#last = announcement;
    for (const listener of this.#listeners) listener(announcement);
    const { upstream, slots } = announcement;
    const version = this.tellsVersion ? announcement.version : undefined;
    const isDraining = this.#isLeaving && announcement.state !== 'down';
    const state = isDraining ? 'draining' : announcement.state;
    const drain = this.#drainIn(announcement);
    const held = this.roster.self.endpoint;
    const isSame =
      held?.upstream === upstream &&
      held.state === state &&
      held.slots === slots &&
      held.version === version &&
      (held.drain === undefined) === (drain === undefined);
    if (isSame) return;
    this.roster.announce({
      upstream,
      state,
      slots,
      ...(version !== undefined && { version }),
      ...(drain && { drain }),
    });
  }

  /** What binds a process that starts here after this one; nothing that no later word could undo. */
  #drainIn(announcement: Announcement): Drain | undefined {
    const { state, id, born, sequence } = announcement;
    if (state !== 'draining' || id === undefined) return undefined;
    if (this.#drain && isBound(announcement, this.#drain)) return this.#drain;
    if (sequence === undefined) return undefined;
    return { id, sequence, ...(born !== undefined && { born }) };
  }
}

/** Whether it is of the life that drains, and not said after that. What is unknown counts as alike. */
function isBound({ id, born, sequence }: Announcement, drain: Drain): boolean {
  if (id !== drain.id) return false;
  if (born !== undefined && drain.born !== undefined && born !== drain.born) return false;
  return sequence === undefined || drain.sequence === undefined || sequence <= drain.sequence;
}

/** Whether `held` is of a later life, or was said later in the same one. */
function isOvertaken(announcement: Announcement, held: Announcement): boolean {
  const { born, sequence } = announcement;
  if (born !== undefined && held.born !== undefined && born !== held.born) return born < held.born;
  if (announcement.id !== held.id) return false;
  return sequence !== undefined && held.sequence !== undefined && sequence <= held.sequence;
}
