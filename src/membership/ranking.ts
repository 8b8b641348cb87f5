/** Who does what in a data centre: every process works it out alike from its roster. */
import { createHash } from 'node:crypto';
import { type Member } from '../contracts.js';
import { type Roster } from './roster.js';

/** Processes of a data centre that hold a watch on the platform. */
export const READERS = 2;
/** Members after oneself on the ring to which a link is kept. */
const SUCCESSORS = 2;
/** Members of a ring to which one process dials at most, however many are suspects. */
const MAX_WATCHED = 64;
/** Hashes of instances kept between changes; several times a fleet. */
const MAX_WEIGHTS = 4_096;

/** Live members of one data centre by rank. */
interface Group {
  readonly members: readonly Member[];
  readonly ranks: ReadonlyMap<string, number>;
}

const NOBODY: Group = { members: [], ranks: new Map() };

/**
 * Ranks live members by a hash of their instance (rendezvous): a member that comes or goes moves
 * few others. Rank 0 is the root of the data centre's tree, and the first `READERS` ranks read.
 */
export class Ranking {
  #topology = -1;

  #groups = new Map<string, Group>();

  #neighbours: readonly Member[] | undefined;

  readonly #weights = new Map<string, string>();

  constructor(
    private readonly roster: Roster,
    private readonly fanout: number,
  ) {}

  /** Live members of a data centre by rank. */
  ranked(dataCentre: string): readonly Member[] {
    return this.#group(dataCentre).members;
  }

  dataCentres(): string[] {
    this.#refresh();
    return [...this.#groups.keys()].sort();
  }

  /** The root of a data centre's tree. */
  root(dataCentre: string): Member | undefined {
    return this.ranked(dataCentre)[0];
  }

  get isReader(): boolean {
    const rank = this.#ownRank;
    return rank >= 0 && rank < READERS;
  }

  /** Place of this process among the readers of all data centres; -1 if it is none. */
  get readerPlace(): number {
    if (!this.isReader) return -1;
    return this.dataCentres().indexOf(this.roster.self.dataCentre) * READERS + this.#ownRank;
  }

  get isRoot(): boolean {
    return this.#ownRank === 0;
  }

  /** Whether this process has the tasks that one process of the whole fleet does. */
  get isFirst(): boolean {
    return this.isRoot && this.dataCentres()[0] === this.roster.self.dataCentre;
  }

  /** The member that pushes to this one. */
  get parent(): Member | undefined {
    const rank = this.#ownRank;
    return rank <= 0 ? undefined : this.#own.members[Math.floor((rank - 1) / this.fanout)];
  }

  /** The members that this one pushes to. */
  get children(): readonly Member[] {
    const rank = this.#ownRank;
    if (rank < 0) return [];
    return this.#own.members.slice(rank * this.fanout + 1, (rank + 1) * this.fanout + 1);
  }

  /** All members of a data centre's tree that hang below one of them. */
  descendants(dataCentre: string, instance: string): readonly Member[] {
    const { members: ranked, ranks } = this.#group(dataCentre);
    const rank = ranks.get(instance);
    if (rank === undefined) return [];
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
    this.#refresh();
    this.#neighbours ??= this.#neighboursOf(this.roster.self);
    return this.#neighbours;
  }

  /** Whether a link to `instance` serves either end, as far as this process can tell. */
  needsLink(instance: string): boolean {
    if (this.neighbours.some((member) => member.instance === instance)) return true;
    const other = this.roster.get(instance);
    if (!other) return false;
    const own = this.roster.self.instance;
    return this.#neighboursOf(other).some((member) => member.instance === own);
  }

  /** A member's parent, its successors on the ring and, for a reader, the other roots. */
  #neighboursOf(member: Member): Member[] {
    const { members, ranks } = this.#group(member.dataCentre);
    const rank = ranks.get(member.instance);
    if (rank === undefined) return [];
    const wanted = new Set<Member>();
    if (rank > 0) wanted.add(members[Math.floor((rank - 1) / this.fanout)]!);
    const ring = [...members.slice(rank + 1), ...members.slice(0, rank)];
    for (const successor of watched(ring, SUCCESSORS)) wanted.add(successor);
    if (rank < READERS) {
      for (const [dataCentre, group] of this.#groups) {
        if (dataCentre === member.dataCentre) continue;
        for (const root of watched(group.members, 1)) wanted.add(root);
      }
    }
    return [...wanted];
  }

  get #own(): Group {
    return this.#group(this.roster.self.dataCentre);
  }

  get #ownRank(): number {
    return this.#own.ranks.get(this.roster.self.instance) ?? -1;
  }

  #group(dataCentre: string): Group {
    this.#refresh();
    return this.#groups.get(dataCentre) ?? NOBODY;
  }

  #refresh(): void {
    if (this.#topology === this.roster.topology) return;
    this.#topology = this.roster.topology;
    this.#neighbours = undefined;
    const byDataCentre = new Map<string, Member[]>();
    for (const member of this.roster.live()) {
      const members = byDataCentre.get(member.dataCentre);
      if (members) members.push(member);
      else byDataCentre.set(member.dataCentre, [member]);
    }
    this.#groups = new Map();
    for (const [dataCentre, members] of byDataCentre) {
      members.sort((a, b) => compare(this.#weight(a), this.#weight(b)));
      const ranks = new Map(members.map(({ instance }, rank) => [instance, rank]));
      this.#groups.set(dataCentre, { members, ranks });
    }
  }

  #weight({ instance }: Member): string {
    let weight = this.#weights.get(instance);
    if (weight === undefined) {
      // Instances are replaced all the time; those of the past must not pile up here.
      if (this.#weights.size > MAX_WEIGHTS) this.#weights.clear();
      weight = createHash('sha1').update(instance).digest('hex');
      this.#weights.set(instance, weight);
    }
    return weight;
  }
}

/**
 * The first members of `ring`, until `count` among them are alive. When a herd dies, the monitors
 * of a member die with it, and two successors at a time would find out about the rest for
 * minutes. So for each suspect met, one more member is watched: the number of those found doubles
 * with each round, and the links to members that turn out to be alive are closed again later.
 */
function watched(ring: readonly Member[], count: number): Member[] {
  let alive = 0;
  let suspects = 0;
  const enough = ring.findIndex((member) => {
    if (member.liveness === 'suspect') suspects += 1;
    else alive += 1;
    return alive >= Math.max(count, suspects);
  });
  const end = enough < 0 ? ring.length : enough + 1;
  return ring.slice(0, Math.min(end, MAX_WATCHED));
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
