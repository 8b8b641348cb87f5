/** Keeps what upstream instances said when they left, for processes that start beside them again. */
import { type Drain, type Member } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { DRAIN } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { setLatest } from '../runtime/latest.js';
import { type EndpointLease } from './announcement.js';
import { type Roster } from './roster.js';

/** How long a process that starts waits for the word of a neighbour at most, in milliseconds. */
const HOLD_MS = 1_000;
const ASK_TIMEOUT_MS = 1_000;
/** Neighbours whose word is enough. */
const ENOUGH_ANSWERS = 3;
/** Drains kept at most; at the design size every endpoint several times over. */
const MAX_DRAINS = 4_096;

/**
 * A process that acknowledges a drain is bound by it, and so is the one that starts there after
 * it, which has heard nothing: a late report, or a health check that lies, would bring the endpoint
 * back and callers would be cut as it exits. All others have heard of the drain, so it asks them.
 */
export class Drains {
  readonly #kept = new Map<string, Drain>();

  readonly #answered = new AbortController();

  #answers = 0;

  constructor(
    private readonly roster: Roster,
    private readonly lease: EndpointLease,
    private readonly clock: Clock,
    mesh: Mesh,
    methods: Methods,
  ) {
    lease.hold();
    roster.onNews((members) => members.forEach((member) => this.#keep(member)));
    mesh.onOpen((peer) => void this.#ask(peer));
    methods.on(DRAIN, (_, { instance }) => {
      const drain = this.#kept.get(instance);
      return drain ? { drain } : {};
    });
  }

  /** Lets announcements in once a neighbour was heard, or when none can be. */
  async run(signal: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([signal, this.#answered.signal]);
    await this.clock.sleepUntil(this.clock.now() + HOLD_MS, ended);
    this.lease.release();
  }

  #keep({ instance, endpoint }: Member): void {
    if (!endpoint?.drain || instance === this.roster.self.instance) return;
    setLatest(this.#kept, instance, endpoint.drain, MAX_DRAINS);
  }

  async #ask(peer: Peer): Promise<void> {
    if (this.#answers >= ENOUGH_ANSWERS) return;
    const { instance } = this.roster.self;
    try {
      const deadline = this.clock.now() + ASK_TIMEOUT_MS;
      const { drain } = await peer.request(DRAIN, { instance }, deadline);
      this.#answers += 1;
      if (drain) this.lease.recall(drain);
      this.#answered.abort();
    } catch {
      // Another neighbour may tell; a process of an earlier release knows no such question.
    }
  }
}
