/** Maintains links to the neighbours and closes links that are no longer needed. */
import { type Member, OutcomeError } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';
import { type Roster } from './roster.js';
import { isDeadOrLeft } from './member_record.js';

/** First and highest cap of the jittered wait before dialling again, in milliseconds. */
const INITIAL_REDIAL_CAP_MS = 500;
const MAX_REDIAL_CAP_MS = 15_000;
/** A link open for this long, in milliseconds, counts as stable: the next dial does not wait. */
const STABLE_MS = 10_000;
/** A link that neither end needs is closed after this long, in milliseconds. */
const UNNEEDED_LINK_MS = 10_000;
const SWEEP_INTERVAL_MS = 1_000;

/**
 * A closed link proves nothing about the far end: the link may have been a duplicate, silent or no
 * longer needed. Only a failed dial raises a suspicion.
 */
export class LinkMaintenance {
  /** Instances for which a dialling task is running. */
  readonly #dialling = new Set<string>();

  /** Number of dials since the last stable link, by instance. */
  readonly #attempts = new Map<string, number>();

  readonly #stableAt = new Map<string, number>();

  readonly #closeAt = new WeakMap<Peer, number>();

  constructor(
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly stopping: AbortSignal,
  ) {
    roster.onUpdate(() => this.dialMissing());
    mesh.onOpen((peer) => this.#opened(peer));
    mesh.onClose(() => this.dialMissing());
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + SWEEP_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.dialMissing();
      this.#resetAttempts();
      for (const peer of this.mesh.peers) this.#closeIfUnneeded(peer);
    }
  }

  /** Dials the neighbours to which there is no link. */
  dialMissing(): void {
    if (this.stopping.aborted) return;
    for (const member of this.ranking.neighbours) {
      runInBackground('dial', this.#dialUntilLinked(member));
    }
  }

  /** Dials until there is a link or the member is no longer a neighbour. */
  async #dialUntilLinked({ instance }: Member): Promise<void> {
    if (this.#dialling.has(instance) || this.mesh.peer(instance)) return;
    this.#dialling.add(instance);
    try {
      while (this.#isMissing(instance)) {
        await this.#backOff(instance);
        if (!this.#isMissing(instance)) break;
        await this.#dial(instance);
      }
    } finally {
      // After a failure the next sweep starts it again.
      this.#dialling.delete(instance);
    }
  }

  #isMissing(instance: string): boolean {
    if (this.stopping.aborted || this.mesh.peer(instance)) return false;
    return this.ranking.neighbours.some((member) => member.instance === instance);
  }

  /** Waits before a dial: not before the first one, then with full jitter and a doubling cap. */
  async #backOff(instance: string): Promise<void> {
    const attempts = this.#attempts.get(instance) ?? 0;
    if (attempts === 0) return;
    const wait = this.random.backoff(attempts - 1, INITIAL_REDIAL_CAP_MS, MAX_REDIAL_CAP_MS);
    await this.clock.sleepUntil(this.clock.now() + wait, this.stopping);
  }

  async #dial(instance: string): Promise<void> {
    const member = this.roster.get(instance);
    if (!member) return;
    this.#attempts.set(instance, (this.#attempts.get(instance) ?? 0) + 1);
    try {
      const peer = await this.mesh.dial({ host: member.host, port: member.linkPort });
      // Another instance now uses the address.
      if (peer.member?.instance !== instance) this.#suspect(member);
    } catch (error) {
      const isTurnedAway = error instanceof OutcomeError && error.reason === 'turned-away';
      if (!isTurnedAway) this.#suspect(member);
    }
  }

  /** Suspects the record that was dialled: one received meanwhile is not refuted by the failure. */
  #suspect(dialled: Member): void {
    if (this.stopping.aborted || this.mesh.peer(dialled.instance)) return;
    this.roster.merge([{ ...dialled, liveness: 'suspect' }]);
  }

  #opened(peer: Peer): void {
    this.#stableAt.set(peer.member!.instance, this.clock.now() + STABLE_MS);
  }

  /** Resets the attempts of stable links, and of members that are gone. */
  #resetAttempts(): void {
    const now = this.clock.now();
    for (const [instance, deadline] of this.#stableAt) {
      const isOpen = this.mesh.peer(instance) !== undefined;
      if (isOpen && deadline > now) continue;
      this.#stableAt.delete(instance);
      if (isOpen) this.#attempts.delete(instance);
    }
    for (const instance of this.#attempts.keys()) {
      const member = this.roster.get(instance);
      if (!member || isDeadOrLeft(member)) this.#attempts.delete(instance);
    }
  }

  #closeIfUnneeded(peer: Peer): void {
    if (this.ranking.needsLink(peer.member!.instance)) {
      this.#closeAt.delete(peer);
      return;
    }
    const now = this.clock.now();
    const deadline = this.#closeAt.get(peer) ?? now + UNNEEDED_LINK_MS;
    this.#closeAt.set(peer, deadline);
    if (now >= deadline) peer.link.close();
  }
}
