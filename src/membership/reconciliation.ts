/** Makes the rosters of two neighbours equal by exchanging only what differs. */
import { type Member, type RosterDifference, type RosterEntry } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { EXCHANGE, RECONCILE } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Roster } from './roster.js';
import { isGone } from './statement.js';

/** Rosters that differ for so many heartbeats are reconciled; by the end that dialled, first. */
const DIFFERING_HEARTBEATS = 2;
const TIMEOUT_MS = 2_000;
/** A process begins one reconciliation in this time at most, in milliseconds, plus jitter. */
const EVERY_MS = 500;
/** Statements handed out per second, and at once: a herd that joins takes what is left later. */
const STATEMENTS_PER_SECOND = 2_000;
const STATEMENTS_AT_ONCE = 2_000;
/** So many members unknown before are a roster, which neighbours fetch for themselves. */
const BULK = 16;

export class Reconciliation {
  #begun = 0;

  #isBusy = false;

  #notBefore = 0;

  readonly #differing = new WeakMap<Peer, number>();

  readonly #statements: TokenBucket;

  constructor(
    private readonly roster: Roster,
    mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    this.#statements = new TokenBucket(clock, STATEMENTS_PER_SECOND, STATEMENTS_AT_ONCE);
    mesh.onOpen((peer) => void this.#opened(peer));
    methods
      .on(RECONCILE, (_, { buckets }) => this.#difference(buckets))
      .on(EXCHANGE, (peer, { members, wanted }) => {
        this.#take(peer, members);
        return { members: this.#hand(wanted) };
      });
  }

  /** Reconciliations begun by this process. */
  get begun(): number {
    return this.#begun;
  }

  /** Notes the roster's hash from a neighbour's heartbeat. */
  compare(peer: Peer, hash: string): void {
    if (hash === this.roster.hash) {
      this.#differing.delete(peer);
      return;
    }
    const times = (this.#differing.get(peer) ?? 0) + 1;
    this.#differing.set(peer, times);
    const patience = peer.isDialled ? DIFFERING_HEARTBEATS : 2 * DIFFERING_HEARTBEATS;
    if (times >= patience) void this.#reconcile(peer);
  }

  /** Only a process that knows nobody yet asks at once; a herd of others would ask together. */
  async #opened(peer: Peer): Promise<void> {
    if (!peer.isDialled) return;
    const isNew = this.roster.size <= 2;
    const wait = isNew ? 0 : this.random.jitter(EVERY_MS);
    if (wait > 0) await this.clock.sleepUntil(this.clock.now() + wait, peer.link.closed);
    if (!peer.link.closed.aborted) await this.#reconcile(peer);
  }

  async #reconcile(peer: Peer): Promise<void> {
    const now = this.clock.now();
    if (this.#isBusy || now < this.#notBefore) return;
    this.#isBusy = true;
    this.#begun += 1;
    this.#notBefore = now + EVERY_MS + this.random.jitter(EVERY_MS);
    this.#differing.delete(peer);
    try {
      await this.#exchange(peer, now + TIMEOUT_MS);
    } catch {
      // The next differing heartbeats try again.
    } finally {
      this.#isBusy = false;
    }
  }

  async #exchange(peer: Peer, deadline: number): Promise<void> {
    const buckets = [...this.roster.digest.buckets];
    const difference = await peer.request(RECONCILE, { buckets }, deadline);
    const wanted = difference.entries.filter((entry) => this.#wants(entry));
    const members = this.#offers(difference);
    if (wanted.length + members.length === 0) return;
    const instances = wanted.map(({ instance }) => instance);
    const answer = await peer.request(EXCHANGE, { members, wanted: instances }, deadline);
    this.#take(peer, answer.members);
  }

  #difference(theirs: readonly number[]): RosterDifference {
    const { digest } = this.roster;
    const buckets = digest.buckets.flatMap((hash, bucket) =>
      hash === theirs[bucket] ? [] : [bucket],
    );
    const differing = new Set(buckets);
    const entries = this.roster
      .all()
      .filter(({ instance }) => differing.has(digest.bucketOf(instance)))
      .map((member) => this.#entry(member));
    return { buckets, entries };
  }

  #entry(member: Member): RosterEntry {
    const { instance } = member;
    const hash = this.roster.digest.hashOf(instance)!;
    return isGone(member) ? { instance, hash, isGone: true } : { instance, hash };
  }

  /** Of those that are gone, only what contradicts: the rest would never be forgotten. */
  #wants(entry: RosterEntry): boolean {
    const held = this.roster.digest.hashOf(entry.instance);
    return held === undefined ? !entry.isGone : held !== entry.hash;
  }

  #offers({ buckets, entries }: RosterDifference): Member[] {
    const { digest } = this.roster;
    const differing = new Set(buckets);
    const theirs = new Map(entries.map(({ instance, hash }) => [instance, hash]));
    const members = this.roster.all().filter((member) => {
      const hash = theirs.get(member.instance);
      if (hash === undefined && isGone(member)) return false;
      const isApart = differing.has(digest.bucketOf(member.instance));
      return isApart && hash !== digest.hashOf(member.instance);
    });
    return members.slice(0, this.#statements.takeUpTo(members.length));
  }

  #hand(wanted: readonly string[]): Member[] {
    const members = wanted.flatMap((instance) => this.roster.get(instance) ?? []);
    return members.slice(0, this.#statements.takeUpTo(members.length));
  }

  #take(peer: Peer, members: readonly Member[]): void {
    const instance = peer.member?.instance;
    if (instance === undefined) return;
    const unknown = members.filter((member) => !this.roster.get(member.instance)).length;
    const statements = members.map((member) => this.#soften(member));
    this.roster.merge(statements, { instance, isBulk: unknown > BULK });
  }

  /**
   * Whoever was cut off believes all the others dead. Taken as they stand, its statements would
   * leave the whole fleet without endpoints until each had refuted. As suspicions they are refuted
   * in time, and work goes on meanwhile.
   */
  #soften(member: Member): Member {
    if (member.liveness !== 'dead' || member.instance === this.roster.self.instance) return member;
    const held = this.roster.get(member.instance);
    return held && !isGone(held) ? { ...member, liveness: 'suspect' } : member;
  }
}
