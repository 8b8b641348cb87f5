/** Who does what in a data centre: every process works it out alike from its roster. */
import { createHash } from 'node:crypto';
import { type Member } from '../contracts.js';
import { type Roster } from './roster.js';

/** Processes of a data centre that hold a watch on the platform. */
export const READERS = 2;
/** Members after oneself on the ring to which a link is kept. */
const SUCCESSORS = 2;

/**
 * Ranks live members by a hash of their instance (rendezvous): a member that comes or goes moves
 * few others. Rank 0 is the root of the data centre's tree, and the first `READERS` ranks read.
 */
export class Ranking {
  #generation = -1;

  #byDataCentre = new Map<string, Member[]>();

  constructor(
    private readonly roster: Roster,
    private readonly fanout: number,
  ) {}

  /** Live members of a data centre by rank. */
  ranked(dataCentre: string): readonly Member[] {
    this.#refresh();
    return this.#byDataCentre.get(dataCentre) ?? [];
  }

  dataCentres(): string[] {
    this.#refresh();
    return [...this.#byDataCentre.keys()].sort();
  }

  /** The root of a data centre's tree. */
  root(dataCentre: string): Member | undefined {
    return this.ranked(dataCentre)[0];
  }

  get isReader(): boolean {
    const rank = this.#ownRank;
    return rank >= 0 && rank < READERS;
  }

  get isRoot(): boolean {
    return this.#ownRank === 0;
  }

  /** The member that pushes to this one. */
  get parent(): Member | undefined {
    const rank = this.#ownRank;
    return rank <= 0 ? undefined : this.#own[Math.floor((rank - 1) / this.fanout)];
  }

  /** The members that this one pushes to. */
  get children(): readonly Member[] {
    const rank = this.#ownRank;
    if (rank < 0) return [];
    return this.#own.slice(rank * this.fanout + 1, (rank + 1) * this.fanout + 1);
  }

  /** All members of a data centre's tree that hang below one of them. */
  descendants(dataCentre: string, instance: string): readonly Member[] {
    const ranked = this.ranked(dataCentre);
    const rank = ranked.findIndex((member) => member.instance === instance);
    if (rank < 0) return [];
    const found: Member[] = [];
    let [from, to] = [rank * this.fanout + 1, (rank + 1) * this.fanout + 1];
    while (from < ranked.length) {
      found.push(...ranked.slice(from, to));
      [from, to] = [from * this.fanout + 1, to * this.fanout + 1];
    }
    return found;
  }

  /** The members to which this process keeps a link of its own making. */
  get neighbours(): readonly Member[] {
    const { self } = this.roster;
    const wanted = new Map<string, Member>();
    const want = (member: Member | undefined) => {
      if (member && member.instance !== self.instance) wanted.set(member.instance, member);
    };
    want(this.parent);
    const own = this.#own;
    for (let step = 1; step <= SUCCESSORS; step++) want(own[(this.#ownRank + step) % own.length]);
    if (this.isReader) {
      for (const dataCentre of this.dataCentres()) want(this.root(dataCentre));
    }
    return [...wanted.values()];
  }

  get #own(): readonly Member[] {
    return this.ranked(this.roster.self.dataCentre);
  }

  get #ownRank(): number {
    return this.#own.findIndex((member) => member.instance === this.roster.self.instance);
  }

  #refresh(): void {
    if (this.#generation === this.roster.generation) return;
    this.#generation = this.roster.generation;
    this.#byDataCentre = new Map();
    for (const member of this.roster.live()) {
      const group = this.#byDataCentre.get(member.dataCentre);
      if (group) group.push(member);
      else this.#byDataCentre.set(member.dataCentre, [member]);
    }
    for (const group of this.#byDataCentre.values()) {
      group.sort((a, b) => compare(rankOf(a), rankOf(b)));
    }
  }
}

const ranks = new Map<string, string>();

function rankOf({ instance }: Member): string {
  const known = ranks.get(instance);
  if (known !== undefined) return known;
  const rank = createHash('sha1').update(instance).digest('hex');
  ranks.set(instance, rank);
  return rank;
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
