/** Remembers the drains of upstream instances for processes that restart next to them. */
import { type Drain, type Member } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { DRAIN } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { setBounded } from '../runtime/bounded_map.js';
import { type EndpointLease } from './announcement.js';
import { type Roster } from './roster.js';

/** How long a starting process waits for the answer of a neighbour at most, in milliseconds. */
const MAX_HOLD_MS = 1_000;
const QUERY_TIMEOUT_MS = 1_000;
/** Number of answers after which no more neighbours are asked. */
const SUFFICIENT_ANSWERS = 3;
/** Maximum number of drains stored, one per endpoint; several times the design size. */
const MAX_DRAINS = 4_096;

/**
 * A process that has acknowledged a drain must not publish the endpoint as ready again, and neither
 * must its successor, which has not received the drain. A delayed announcement or a wrong health
 * check would make the endpoint ready, and callers would be cut off when it exits. Since the drain
 * is part of the member record, all other processes know it, and the successor asks its neighbours.
 */
export class Drains {
  readonly #drains = new Map<string, Drain>();

  readonly #answered = new AbortController();

  #answerCount = 0;

  constructor(
    private readonly roster: Roster,
    private readonly lease: EndpointLease,
    private readonly clock: Clock,
    mesh: Mesh,
    methods: Methods,
  ) {
    lease.hold();
    roster.onUpdate((members) => members.forEach((member) => this.#store(member)));
    mesh.onOpen((peer) => runInBackground('drain query', this.#query(peer)));
    methods.on(DRAIN, (_, { instance }) => {
      const drain = this.#drains.get(instance);
      return drain ? { drain } : {};
    });
  }

  /** Releases held announcements once a neighbour has answered, or after `MAX_HOLD_MS`. */
  async run(signal: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([signal, this.#answered.signal]);
    await this.clock.sleepUntil(this.clock.now() + MAX_HOLD_MS, ended);
    this.lease.release();
  }

  #store({ instance, endpoint }: Member): void {
    if (!endpoint?.drain || instance === this.roster.self.instance) return;
    setBounded(this.#drains, instance, endpoint.drain, MAX_DRAINS);
  }

  async #query(peer: Peer): Promise<void> {
    if (this.#answerCount >= SUFFICIENT_ANSWERS) return;
    const { instance } = this.roster.self;
    try {
      const deadline = this.clock.now() + QUERY_TIMEOUT_MS;
      const { drain } = await peer.request(DRAIN, { instance }, deadline);
      this.#answerCount += 1;
      if (drain) this.lease.applyDrain(drain);
      this.#answered.abort();
    } catch {
      // Another neighbour may answer; processes of earlier releases do not know this method.
    }
  }
}
