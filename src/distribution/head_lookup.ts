/**
 * Determines the current head of the log for starting processes, at a bounded cost to the platform.
 */
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { CONFIRM } from './methods.js';
import { type Reader } from './reader.js';
import { type ReaderRole } from './reader_role.js';

/**
 * Margin by which each level of the tree answers before the level below gives up, in milliseconds.
 */
const LEVEL_MARGIN_MS = 150;
/** Minimum time between two rounds, in milliseconds; bounds how often a reader reads the log. */
const MIN_ROUND_INTERVAL_MS = 200;

/**
 * Batches queries for the head of the log. If every process of a restarting fleet read the log
 * itself, each would cost the platform a call. Here, all queries that arrive during a round are
 * answered by the next round: a process asks its parent once on behalf of its whole subtree, and a
 * reader reads the log once for all queries.
 */
export class HeadLookup {
  #currentRound: Promise<number> | undefined;

  #nextRound: Promise<number> | undefined;

  /** Earliest instant at which the next round may start. */
  #nextRoundAt = 0;

  constructor(
    private readonly reader: Reader,
    private readonly role: ReaderRole,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    methods: Methods,
    /** The peer that reads in place of this process, if any. */
    private readonly delegate: () => Peer | undefined,
  ) {
    methods.on(CONFIRM, async (_, { withinMs }) => ({
      head: await this.lookUp(clock.now() + withinMs),
    }));
  }

  /**
   * Resolves to a version that was the head of the log at some time after this call, so no process
   * can have held a later version before the call. Rejects if no reader reaches the platform before
   * the deadline.
   */
  lookUp(deadline: number): Promise<number> {
    this.#nextRound ??= this.#startRound(deadline);
    return this.#nextRound;
  }

  /** Waits for the current round first: it started before the query, so it cannot answer it. */
  async #startRound(deadline: number): Promise<number> {
    await this.#currentRound?.catch(() => {});
    await this.clock.sleepUntil(this.#nextRoundAt);
    this.#nextRoundAt = this.clock.now() + MIN_ROUND_INTERVAL_MS;
    this.#currentRound = this.#nextRound;
    this.#nextRound = undefined;
    return this.#findHead(deadline);
  }

  async #findHead(deadline: number): Promise<number> {
    const { parent } = this.ranking;
    if (!this.role.isReader)
      return this.#askAny(parent ? [this.mesh.peer(parent.instance)] : [], deadline);
    try {
      const halfMs = (deadline - this.clock.now()) / 2;
      return await this.reader.readHead(this.clock.now() + halfMs);
    } catch {
      return this.#askAny([...this.#remotePeers(), this.delegate()], deadline);
    }
  }

  /**
   * Peers in other data centres: readers there may reach the platform when those in this one
   * cannot.
   */
  #remotePeers(): Peer[] {
    const { dataCentre } = this.roster.self;
    return this.mesh.peers.filter(({ member }) => member && member.dataCentre !== dataCentre);
  }

  /** Resolves to the first answer; rejects if no peer answers. */
  #askAny(peers: readonly (Peer | undefined)[], deadline: number): Promise<number> {
    const withinMs = Math.max(0, deadline - this.clock.now() - LEVEL_MARGIN_MS);
    const linked = peers.filter((peer) => peer !== undefined);
    return Promise.any(
      linked.map(async (peer) => (await peer.request(CONFIRM, { withinMs }, deadline)).head),
    );
  }
}
