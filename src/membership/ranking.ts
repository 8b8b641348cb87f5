/** Roles in a data centre, which every process derives from its roster in the same way. */
import { createHash } from 'node:crypto';
import { type Member } from '../contracts.js';
import { type Roster } from './roster.js';

/** Number of processes of a data centre that watch the platform. */
export const READERS_PER_DATA_CENTRE = 2;
/**
 * Number of processes of a data centre that may read the platform, the readers included: each takes over
 * when those before it are silent. Versions arrive as long as one of them runs.
 */
const READER_CANDIDATES = 8;
/** Number of next members on the ring to which a process keeps a link. */
const SUCCESSORS = 2;
/** Maximum number of ring members that one process dials, however many are suspects. */
const MAX_MONITORED = 64;
/** Maximum number of cached instance hashes; several times the size of a fleet. */
const MAX_CACHED_HASHES = 4_096;

/** Live members of one data centre by rank. */
interface Group {
  readonly members: readonly Member[];
  readonly ranks: ReadonlyMap<string, number>;
}

const EMPTY_GROUP: Group = { members: [], ranks: new Map() };

/**
 * Ranks live members by a hash of their instance, so that a member that joins or leaves changes the
 * place of few others. Rank 0 is the root of the data centre's tree; the first
 * `READERS_PER_DATA_CENTRE` ranks that are no suspects are its readers.
 */
export class Ranking {
  #topology = -1;

  #groups = new Map<string, Group>();

  #neighbours: readonly Member[] | undefined;

  /** Instances whose links are silent. */
  #silent: ReadonlySet<string> = new Set();

  #readerCandidates: readonly Member[] | undefined;

  readonly #hashes = new Map<string, string>();

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
    const { instance, dataCentre } = this.roster.self;
    return this.readers(dataCentre).some((member) => member.instance === instance);
  }

  /**
   * The members of a data centre that read the source. Suspects are passed over: one that is paused
   * or cut off reads nothing, and until it is declared dead the data centre would get no versions. As
   * a suspect may still be alive, it counts as a reader too.
   */
  readers(dataCentre: string): readonly Member[] {
    const members = this.ranked(dataCentre);
    let trusted = 0;
    const last = members.findIndex(({ liveness }) => {
      if (liveness !== 'suspect') trusted += 1;
      return trusted >= READERS_PER_DATA_CENTRE;
    });
    return last < 0 ? members : members.slice(0, last + 1);
  }

  /**
   * The members of the own data centre that read the source or take over reading, in that order. Suspects
   * are passed over.
   */
  get readerCandidates(): readonly Member[] {
    this.#refresh();
    this.#readerCandidates ??= this.#ownGroup.members
      .filter(({ liveness }) => liveness !== 'suspect')
      .slice(0, READER_CANDIDATES);
    return this.#readerCandidates;
  }

  /** Index of this process among the readers of all data centres; -1 if it is no reader. */
  get readerIndex(): number {
    if (!this.isReader) return -1;
    return (
      this.dataCentres().indexOf(this.roster.self.dataCentre) * READERS_PER_DATA_CENTRE +
      this.#ownRank
    );
  }

  /**
   * Place of this process in a cycle of the readers of all data centres, from 0 up to 1. They are evenly
   * spread over it, and those of a data centre are as far apart as they can be. Suspects have no place.
   */
  get readerPhase(): number {
    const { instance, dataCentre } = this.roster.self;
    const dataCentres = this.dataCentres();
    const index = this.readerCandidates.findIndex((member) => member.instance === instance);
    const offset = dataCentres.indexOf(dataCentre) / Math.max(1, dataCentres.length);
    return (Math.max(0, index) + offset) / READERS_PER_DATA_CENTRE;
  }

  get isRoot(): boolean {
    return this.#ownRank === 0;
  }

  /** Whether this process does the tasks that a single process does for the whole fleet. */
  get isLeader(): boolean {
    return this.isRoot && this.dataCentres()[0] === this.roster.self.dataCentre;
  }

  /** The member that pushes to this one. */
  get parent(): Member | undefined {
    const rank = this.#ownRank;
    return rank <= 0 ? undefined : this.#ownGroup.members[Math.floor((rank - 1) / this.fanout)];
  }

  /** The members that this one pushes to. */
  get children(): readonly Member[] {
    const rank = this.#ownRank;
    if (rank < 0) return [];
    return this.#ownGroup.members.slice(rank * this.fanout + 1, (rank + 1) * this.fanout + 1);
  }

  /** All members below `instance` in the tree of a data centre. */
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

  /**
   * Passes over these instances, whose links are silent, where neighbours are chosen; they stay
   * neighbours too. Returns whether the set has changed.
   */
  passOver(silent: ReadonlySet<string>): boolean {
    const isSame =
      silent.size === this.#silent.size && [...silent].every((name) => this.#silent.has(name));
    if (isSame) return false;
    this.#silent = silent;
    this.#neighbours = undefined;
    return true;
  }

  /** The members to which this process opens and keeps a link. */
  get neighbours(): readonly Member[] {
    this.#refresh();
    this.#neighbours ??= this.#neighboursOf(this.roster.self);
    return this.#neighbours;
  }

  /** Whether this process or `instance` needs a link between them, according to this roster. */
  needsLink(instance: string): boolean {
    if (this.neighbours.some((member) => member.instance === instance)) return true;
    const other = this.roster.get(instance);
    if (!other) return false;
    const own = this.roster.self.instance;
    return this.#neighboursOf(other).some((member) => member.instance === own);
  }

  /** Parent and ring successors of a member and, if it is a reader, other data centres' roots. */
  #neighboursOf(member: Member): Member[] {
    const { members, ranks } = this.#group(member.dataCentre);
    const rank = ranks.get(member.instance);
    if (rank === undefined) return [];
    const wanted = new Set<Member>();
    if (rank > 0) wanted.add(members[Math.floor((rank - 1) / this.fanout)]!);
    const ring = [...members.slice(rank + 1), ...members.slice(0, rank)];
    for (const successor of this.#monitored(ring, SUCCESSORS)) wanted.add(successor);
    if (rank < READERS_PER_DATA_CENTRE) {
      for (const [dataCentre, group] of this.#groups) {
        if (dataCentre === member.dataCentre) continue;
        for (const root of this.#monitored(group.members, 1)) wanted.add(root);
      }
    }
    return [...wanted];
  }

  /**
   * The first members of `ring` until enough of them are alive: at least `count`, and as many as
   * there are suspects or silent ones among them. In a mass failure, the monitors of a member may fail
   * with it, and detecting the rest two successors at a time would take minutes. With one more monitored
   * member for each of them, the number detected doubles with each round. Links to members that turn out
   * to be alive are closed again later.
   */
  #monitored(ring: readonly Member[], count: number): Member[] {
    let alive = 0;
    let missing = 0;
    const last = ring.findIndex(({ instance, liveness }) => {
      if (liveness === 'suspect' || this.#silent.has(instance)) missing += 1;
      else alive += 1;
      return alive >= Math.max(count, missing);
    });
    const end = last < 0 ? ring.length : last + 1;
    return ring.slice(0, Math.min(end, MAX_MONITORED));
  }

  get #ownGroup(): Group {
    return this.#group(this.roster.self.dataCentre);
  }

  get #ownRank(): number {
    return this.#ownGroup.ranks.get(this.roster.self.instance) ?? -1;
  }

  #group(dataCentre: string): Group {
    this.#refresh();
    return this.#groups.get(dataCentre) ?? EMPTY_GROUP;
  }

  #refresh(): void {
    if (this.#topology === this.roster.topology) return;
    this.#topology = this.roster.topology;
    this.#neighbours = undefined;
    this.#readerCandidates = undefined;
    const byDataCentre = new Map<string, Member[]>();
    for (const member of this.roster.live()) {
      const members = byDataCentre.get(member.dataCentre);
      if (members) members.push(member);
      else byDataCentre.set(member.dataCentre, [member]);
    }
    this.#groups = new Map();
    for (const [dataCentre, members] of byDataCentre) {
      members.sort((a, b) => compare(this.#hashOf(a), this.#hashOf(b)));
      const ranks = new Map(members.map(({ instance }, rank) => [instance, rank]));
      this.#groups.set(dataCentre, { members, ranks });
    }
  }

  #hashOf({ instance }: Member): string {
    let weight = this.#hashes.get(instance);
    if (weight === undefined) {
      // Instances are replaced continually; without a bound, hashes of old ones would accumulate.
      if (this.#hashes.size > MAX_CACHED_HASHES) this.#hashes.clear();
      weight = createHash('sha1').update(instance).digest('hex');
      this.#hashes.set(instance, weight);
    }
    return weight;
  }
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
