/** Lets a peer read the source in place of a reader that does not reach it. */
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Ranking, READERS_PER_DATA_CENTRE } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Mesh } from './mesh.js';
import { DELEGATE, READING } from './methods.js';
import { type Reader } from './reader.js';
import { type ReaderRole } from './reader_role.js';

/** How long a delegate reads after each request, in milliseconds. */
const DELEGATION_MS = 1_500;
/** Interval at which a delegate is asked again, in milliseconds. */
const RENEWAL_INTERVAL_MS = 500;
/** Time in which a peer has to read the source once and answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 600;
/** Timeout of the first read of a delegate, in milliseconds. */
const DELEGATED_READ_MS = 500;
/** Number of peers asked one right after another; at most one store call each. */
const IMMEDIATE_ATTEMPTS = 3;
/** First and highest cap of the jittered wait before a further peer is asked, in milliseconds. */
const INITIAL_RETRY_CAP_MS = 1_000;
const MAX_RETRY_CAP_MS = 4_000;
/** Time without a failed attempt after which peers are again asked at once, in milliseconds. */
const CALM_MS = 10_000;

/**
 * A store may turn the readers away and serve all others. Readers live on and keep their rank then, so
 * no process would read new versions for as long as that lasts. Therefore a reader that has lost contact
 * asks peers of its data centre, one after another, to read in its place until it is in contact again.
 *
 * When the store turns everybody away, each reader has one peer at a time try, and rarely: the number of
 * calls depends on the number of readers and not on the size of the fleet. Two processes that both read
 * do no harm, as versions are immutable and replicas only move forward.
 */
export class ReadDelegation {
  #isRunning = false;

  #delegate: Peer | undefined;

  /** Number of candidates passed over so far. */
  #passed = 0;

  #failures = 0;

  #lastFailureAt = 0;

  /** Called with the instance that reads in place of this process. */
  onDelegated: (instance: string) => void = () => {};

  constructor(
    private readonly reader: Reader,
    private readonly role: ReaderRole,
    private readonly ranking: Ranking,
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    methods.on(DELEGATE, async (_, { forMs }) => ({
      isReading: await this.readInPlace(forMs, clock.now() + DELEGATED_READ_MS),
    }));
    mesh.onOpen((peer) => {
      if (role.isDelegated) peer.notify(READING, {});
    });
    reader.onContactLost = () => runInBackground('read delegation', this.#run());
  }

  /**
   * Reads the source for `forMs` milliseconds without the rank for it; resolves to whether this process
   * reaches it by `deadline`. Peers learn of it first: they then know that they may not have heard of all
   * versions that this process holds.
   */
  readInPlace(forMs: number, deadline: number): Promise<boolean> {
    if (!this.role.isReader) notifyAll(this.mesh.peers, READING, {});
    return this.reader.readFor(forMs, deadline);
  }

  /** The peer that reads in place of this process. */
  get delegate(): Peer | undefined {
    return this.#delegate;
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    if (this.clock.now() - this.#lastFailureAt > CALM_MS) this.#failures = 0;
    try {
      while (this.#isNeeded) await this.#step();
    } finally {
      this.#delegate = undefined;
      this.#isRunning = false;
    }
  }

  get #isNeeded(): boolean {
    return this.role.isRanked && !this.reader.hasContact;
  }

  async #step(): Promise<void> {
    const { contactRegained } = this.reader;
    const wait = await this.#delegateTo(this.#delegate ?? this.#nextCandidate());
    await this.clock.sleepUntil(this.clock.now() + wait, contactRegained);
  }

  /** Resolves to the time until the next step, in milliseconds. */
  async #delegateTo(peer: Peer | undefined): Promise<number> {
    if (!peer) return RENEWAL_INTERVAL_MS;
    const isReading = await this.#ask(peer);
    if (isReading && peer !== this.#delegate) this.onDelegated(peer.member!.instance);
    this.#delegate = isReading ? peer : undefined;
    return isReading ? RENEWAL_INTERVAL_MS : this.#waitAfterFailure();
  }

  async #ask(peer: Peer): Promise<boolean> {
    const deadline = this.clock.now() + ANSWER_TIMEOUT_MS;
    try {
      return (await peer.request(DELEGATE, { forMs: DELEGATION_MS }, deadline)).isReading;
    } catch {
      return false;
    }
  }

  /**
   * The other members of the data centre by rank, as far as there is a link. The second reader begins
   * with the second of them, so that both do not ask the same one.
   */
  #nextCandidate(): Peer | undefined {
    const { dataCentre, instance } = this.roster.self;
    const ranked = this.ranking.ranked(dataCentre);
    const peers = ranked
      .slice(READERS_PER_DATA_CENTRE)
      .flatMap((member) => this.mesh.peer(member.instance) ?? []);
    const ownRank = ranked.findIndex((member) => member.instance === instance);
    return peers[(Math.max(0, ownRank) + this.#passed) % peers.length];
  }

  /** Longer with each failure: when the store serves nobody, asking further peers only costs calls. */
  #waitAfterFailure(): number {
    this.#passed += 1;
    this.#failures += 1;
    this.#lastFailureAt = this.clock.now();
    const doublings = this.#failures - IMMEDIATE_ATTEMPTS;
    if (doublings < 0) return 0;
    return this.random.backoff(doublings, INITIAL_RETRY_CAP_MS, MAX_RETRY_CAP_MS);
  }
}
