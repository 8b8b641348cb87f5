/** Anti-entropy: makes the rosters of two neighbours equal, exchanging only differing records. */
import { type Member, type RosterDifference, type RosterEntry } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { EXCHANGE, RECONCILE } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Roster } from './roster.js';
import { isDeadOrLeft } from './member_record.js';

/** Differing heartbeats until the dialling end reconciles; the other end waits twice as long. */
const DIFFERING_HEARTBEATS = 2;
const TIMEOUT_MS = 2_000;
/** Shortest time between two reconciliations started here, in ms, plus up to as much jitter. */
const MIN_INTERVAL_MS = 500;
/** Rate and burst of records sent; when many processes join at once, the rest follows later. */
const RECORDS_PER_SECOND = 2_000;
const RECORD_BURST = 2_000;
/** With more new members than this, records count as a roster, which neighbours reconcile for. */
const BULK_THRESHOLD = 16;

export class Reconciliation {
  #started = 0;

  #isBusy = false;

  #notBefore = 0;

  /** Whether a reconciliation that this process started has succeeded. */
  #hasJoined = false;

  readonly #differingHeartbeats = new WeakMap<Peer, number>();

  readonly #recordBudget: TokenBucket;

  constructor(
    private readonly roster: Roster,
    mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    this.#recordBudget = new TokenBucket(clock, RECORDS_PER_SECOND, RECORD_BURST);
    mesh.onOpen((peer) => runInBackground('reconciliation', this.#onLinkOpen(peer)));
    methods
      .on(RECONCILE, (_, { buckets }) => this.#difference(buckets))
      .on(EXCHANGE, (peer, { members, wanted }) => {
        this.#merge(peer, members);
        return { members: this.#requestedRecords(wanted) };
      });
  }

  /** Number of reconciliations started by this process. */
  get started(): number {
    return this.#started;
  }

  /** Compares the roster hash from a neighbour's heartbeat; reconciles if it keeps differing. */
  compare(peer: Peer, hash: string): void {
    if (hash === this.roster.hash) {
      this.#differingHeartbeats.delete(peer);
      return;
    }
    const count = (this.#differingHeartbeats.get(peer) ?? 0) + 1;
    this.#differingHeartbeats.set(peer, count);
    const threshold = peer.isDialled ? DIFFERING_HEARTBEATS : 2 * DIFFERING_HEARTBEATS;
    if (count >= threshold) runInBackground('reconciliation', this.#reconcile(peer));
  }

  /**
   * A process that has no roster yet reconciles immediately: until it knows the others, it ranks
   * itself first and reads the platform. Other processes wait with jitter, because many of them
   * open links together when a relay fails.
   */
  async #onLinkOpen(peer: Peer): Promise<void> {
    if (!peer.isDialled) return;
    const wait = this.#hasJoined ? this.random.jitter(MIN_INTERVAL_MS) : 0;
    if (wait > 0) await this.clock.sleepUntil(this.clock.now() + wait, peer.link.closed);
    if (!peer.link.closed.aborted) await this.#reconcile(peer);
  }

  async #reconcile(peer: Peer): Promise<void> {
    const now = this.clock.now();
    if (this.#isBusy || now < this.#notBefore) return;
    this.#isBusy = true;
    this.#started += 1;
    this.#notBefore = now + MIN_INTERVAL_MS + this.random.jitter(MIN_INTERVAL_MS);
    this.#differingHeartbeats.delete(peer);
    try {
      await this.#exchange(peer, now + TIMEOUT_MS);
      this.#hasJoined = true;
    } catch {
      // Retried when heartbeats keep differing.
    } finally {
      this.#isBusy = false;
    }
  }

  async #exchange(peer: Peer, deadline: number): Promise<void> {
    const buckets = [...this.roster.digest.buckets];
    const difference = await peer.request(RECONCILE, { buckets }, deadline);
    const wanted = difference.entries.filter((entry) => this.#wants(entry));
    const members = this.#recordsToSend(difference);
    if (wanted.length + members.length === 0) return;
    const instances = wanted.map(({ instance }) => instance);
    const answer = await peer.request(EXCHANGE, { members, wanted: instances }, deadline);
    this.#merge(peer, answer.members);
  }

  #difference(hashes: readonly number[]): RosterDifference {
    const { digest } = this.roster;
    const buckets = digest.buckets.flatMap((hash, bucket) =>
      hash === hashes[bucket] ? [] : [bucket],
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
    return isDeadOrLeft(member) ? { instance, hash, isGone: true } : { instance, hash };
  }

  /**
   * Whether to request a record. One of a dead or departed member is requested only if another
   * record of the member is held: exchanged freely, such records would never be forgotten.
   */
  #wants(entry: RosterEntry): boolean {
    const ownHash = this.roster.digest.hashOf(entry.instance);
    return ownHash === undefined ? !entry.isGone : ownHash !== entry.hash;
  }

  #recordsToSend({ buckets, entries }: RosterDifference): Member[] {
    const { digest } = this.roster;
    const differing = new Set(buckets);
    const theirHashes = new Map(entries.map(({ instance, hash }) => [instance, hash]));
    const members = this.roster.all().filter((member) => {
      const hash = theirHashes.get(member.instance);
      if (hash === undefined && isDeadOrLeft(member)) return false;
      const isInDifferingBucket = differing.has(digest.bucketOf(member.instance));
      return isInDifferingBucket && hash !== digest.hashOf(member.instance);
    });
    return members.slice(0, this.#recordBudget.takeUpTo(members.length));
  }

  #requestedRecords(wanted: readonly string[]): Member[] {
    const members = wanted.flatMap((instance) => this.roster.get(instance) ?? []);
    return members.slice(0, this.#recordBudget.takeUpTo(members.length));
  }

  #merge(peer: Peer, members: readonly Member[]): void {
    const instance = peer.member?.instance;
    if (instance === undefined) return;
    const unknown = members.filter((member) => !this.roster.get(member.instance)).length;
    const records = members.map((member) => this.#deadToSuspect(member));
    this.roster.merge(records, { instance, isBulk: unknown > BULK_THRESHOLD });
  }

  /**
   * Turns the death of a live member into a suspicion. A process that was partitioned believes all
   * others dead. Merged unchanged, its records would leave the fleet without endpoints until each
   * member had refuted; suspected members keep receiving work while they refute.
   */
  #deadToSuspect(member: Member): Member {
    if (member.liveness !== 'dead' || member.instance === this.roster.self.instance) return member;
    const held = this.roster.get(member.instance);
    return held && !isDeadOrLeft(held) ? { ...member, liveness: 'suspect' } : member;
  }
}
