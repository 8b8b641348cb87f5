/** Finds the end of the log for processes that start, at a bounded cost to the platform. */
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { CONFIRM } from './methods.js';
import { type Reader } from './reader.js';

/** Each level answers this much sooner than the one below gives up, in milliseconds. */
const LEVEL_MS = 150;
/** Least time between two rounds, in milliseconds: a reader reads the log so often at most. */
const ROUND_MS = 200;

/**
 * Were each process of a herd to read the log itself, a fleet that restarts would cost the
 * platform a call per process. Here all questions that come in while a round runs go into the next
 * one: a process asks its parent once for all below it, and a reader reads once for all.
 */
export class Confirmation {
  #round: Promise<number> | undefined;

  #next: Promise<number> | undefined;

  /** Instant before which no other round begins. */
  #notBefore = 0;

  constructor(
    private readonly reader: Reader,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    methods: Methods,
  ) {
    methods.on(CONFIRM, async (_, { withinMs }) => ({
      head: await this.confirm(clock.now() + withinMs),
    }));
  }

  /**
   * Resolves to a version that was the end of the log at some time after this call, so that no
   * process can have held more before it. Rejects if no reader reaches the platform in time.
   */
  confirm(deadline: number): Promise<number> {
    this.#next ??= this.#begin(deadline);
    return this.#next;
  }

  /** A round that is under way began before the question, so it does not answer it. */
  async #begin(deadline: number): Promise<number> {
    await this.#round?.catch(() => {});
    await this.clock.sleepUntil(this.#notBefore);
    this.#notBefore = this.clock.now() + ROUND_MS;
    this.#round = this.#next;
    this.#next = undefined;
    return this.#find(deadline);
  }

  async #find(deadline: number): Promise<number> {
    const { parent, isReader } = this.ranking;
    if (!isReader) return this.#ask(parent ? [this.mesh.peer(parent.instance)] : [], deadline);
    try {
      const half = (deadline - this.clock.now()) / 2;
      return await this.reader.confirm(this.clock.now() + half);
    } catch {
      return this.#ask(this.#elsewhere(), deadline);
    }
  }

  /** Readers of other data centres may reach the platform when those of this one do not. */
  #elsewhere(): Peer[] {
    const { dataCentre } = this.roster.self;
    return this.mesh.peers.filter(({ member }) => member && member.dataCentre !== dataCentre);
  }

  /** The first answer will do; rejects if there is none. */
  #ask(peers: readonly (Peer | undefined)[], deadline: number): Promise<number> {
    const withinMs = Math.max(0, deadline - this.clock.now() - LEVEL_MS);
    const linked = peers.filter((peer) => peer !== undefined);
    return Promise.any(
      linked.map(async (peer) => (await peer.request(CONFIRM, { withinMs }, deadline)).head),
    );
  }
}
