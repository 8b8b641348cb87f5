/** Keeps links to the neighbours, and closes those that serve nobody any more. */
import { type Member, OutcomeError } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';
import { type Roster } from './roster.js';
import { isGone } from './statement.js';

/** Caps of the jittered wait before the next dial: the second one's, and the highest. */
const REDIAL_FIRST_CAP_MS = 500;
const REDIAL_CAP_MS = 15_000;
/** A link that held for this long counts as good: the next dial does not wait. */
const STABLE_MS = 10_000;
/** A link that serves neither end is closed after this long, in milliseconds. */
const RETIRE_MS = 10_000;
const SWEEP_EVERY_MS = 1_000;

/**
 * A link that closes proves nothing about the far end: it may have been a duplicate, have gone
 * silent on the way or be retired. Only a dial that fails is evidence, and raises a suspicion.
 */
export class Upkeep {
  /** Instances that a task is dialling. */
  readonly #kept = new Set<string>();

  /** Dials since the last good link, by instance. */
  readonly #attempts = new Map<string, number>();

  readonly #stableAt = new Map<string, number>();

  readonly #retireAt = new WeakMap<Peer, number>();

  constructor(
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly stopping: AbortSignal,
  ) {
    roster.onNews(() => this.#tend());
    mesh.onOpen((peer) => this.#opened(peer));
    mesh.onClose(() => this.#tend());
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + SWEEP_EVERY_MS, signal);
      if (signal.aborted) return;
      this.#tend();
      this.#settle();
      for (const peer of this.mesh.peers) this.#retire(peer);
    }
  }

  #tend(): void {
    if (this.stopping.aborted) return;
    for (const member of this.ranking.neighbours) void this.#keep(member);
  }

  /** Dials until there is a link, or the member is no neighbour any more. */
  async #keep({ instance }: Member): Promise<void> {
    if (this.#kept.has(instance) || this.mesh.peer(instance)) return;
    this.#kept.add(instance);
    while (this.#isMissing(instance)) {
      await this.#waitTurn(instance);
      if (!this.#isMissing(instance)) break;
      await this.#dial(instance);
    }
    this.#kept.delete(instance);
  }

  #isMissing(instance: string): boolean {
    if (this.stopping.aborted || this.mesh.peer(instance)) return false;
    return this.ranking.neighbours.some((member) => member.instance === instance);
  }

  /** The first dial goes out at once, the others with full jitter under a cap that doubles. */
  async #waitTurn(instance: string): Promise<void> {
    const attempts = this.#attempts.get(instance) ?? 0;
    if (attempts === 0) return;
    const cap = Math.min(REDIAL_CAP_MS, REDIAL_FIRST_CAP_MS * 2 ** (attempts - 1));
    await this.clock.sleepUntil(this.clock.now() + this.random.jitter(cap), this.stopping);
  }

  async #dial(instance: string): Promise<void> {
    const member = this.roster.get(instance);
    if (!member) return;
    this.#attempts.set(instance, (this.#attempts.get(instance) ?? 0) + 1);
    try {
      const peer = await this.mesh.dial({ host: member.host, port: member.linkPort });
      // Another instance has taken over the address.
      if (peer.member?.instance !== instance) this.#suspect(member);
    } catch (error) {
      const isTurnedAway = error instanceof OutcomeError && error.reason === 'turned-away';
      if (!isTurnedAway) this.#suspect(member);
    }
  }

  /** Suspects what was dialled: a statement that came in meanwhile has not been disproved. */
  #suspect(dialled: Member): void {
    if (this.stopping.aborted || this.mesh.peer(dialled.instance)) return;
    this.roster.merge([{ ...dialled, liveness: 'suspect' }]);
  }

  #opened(peer: Peer): void {
    this.#stableAt.set(peer.member!.instance, this.clock.now() + STABLE_MS);
  }

  /** Forgets the failed dials of links that hold, and of members that are gone. */
  #settle(): void {
    const now = this.clock.now();
    for (const [instance, deadline] of this.#stableAt) {
      const isOpen = this.mesh.peer(instance) !== undefined;
      if (isOpen && deadline > now) continue;
      this.#stableAt.delete(instance);
      if (isOpen) this.#attempts.delete(instance);
    }
    for (const instance of this.#attempts.keys()) {
      const member = this.roster.get(instance);
      if (!member || isGone(member)) this.#attempts.delete(instance);
    }
  }

  #retire(peer: Peer): void {
    if (this.ranking.needsLink(peer.member!.instance)) {
      this.#retireAt.delete(peer);
      return;
    }
    const now = this.clock.now();
    const deadline = this.#retireAt.get(peer) ?? now + RETIRE_MS;
    this.#retireAt.set(peer, deadline);
    if (now >= deadline) peer.link.close();
  }
}
