/** What one process knows of all the others. */
import { type Endpoint, type Liveness, type Member } from '../contracts.js';
import { RosterDigest } from './roster_digest.js';
import { isGone, isNewer } from './statement.js';

/** Where statements came from. */
export interface Origin {
  /** The instance that sent them, which need not hear them again. */
  readonly instance?: string;
  /** Whether they are a whole roster: neighbours then compare theirs, and are not sent all of it. */
  readonly isBulk?: boolean;
}

type NewsListener = (members: readonly Member[], origin: Origin) => void;

const OWN: Origin = {};

/** Members by instance. Newer statements replace older ones; the member itself has the last word. */
export class Roster {
  readonly #members = new Map<string, Member>();

  readonly #listeners = new Set<NewsListener>();

  readonly digest = new RosterDigest();

  #generation = 0;

  #topology = 0;

  #refutations = 0;

  #live: readonly Member[] | undefined;

  #self: Member;

  constructor(self: Member) {
    this.#self = self;
    this.#put(self);
  }

  get self(): Member {
    return this.#self;
  }

  /** Rises with every change, so that derived data can be cached. */
  get generation(): number {
    return this.#generation;
  }

  /** Rises when a member comes, goes, moves or is suspected, and not when its endpoint changes. */
  get topology(): number {
    return this.#topology;
  }

  /** Equal for two rosters that hold the same live members, whatever the order they came in. */
  get hash(): string {
    return this.digest.total;
  }

  get size(): number {
    return this.#members.size;
  }

  /** How often this process has refuted a statement about itself. */
  get refutations(): number {
    return this.#refutations;
  }

  /** Members by liveness. */
  get counts(): Readonly<Record<Liveness, number>> {
    const counts = { alive: 0, suspect: 0, dead: 0, left: 0 };
    for (const { liveness } of this.#members.values()) counts[liveness] += 1;
    return counts;
  }

  get(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Members that may hold links, and work for which one may still hope. */
  live(): readonly Member[] {
    this.#live ??= this.all().filter((member) => !isGone(member));
    return this.#live;
  }

  /** How many live members have an endpoint that takes work. */
  get endpoints(): number {
    return this.live().filter((member) => member.endpoint?.state === 'ready').length;
  }

  /** Calls `listener` with the statements that were news. */
  onNews(listener: NewsListener): void {
    this.#listeners.add(listener);
  }

  /** Takes over what is newer; returns the statements that were news. */
  merge(statements: readonly Member[], origin: Origin = OWN): Member[] {
    const news = statements
      .map((member) => this.#take(member))
      .filter((member) => member !== undefined);
    if (news.length > 0) this.#announce(news, origin);
    return news;
  }

  /** States that a neighbour's liveness has changed; false if a stronger statement is held. */
  mark(instance: string, liveness: Liveness): boolean {
    const member = this.#members.get(instance);
    if (!member || instance === this.#self.instance) return false;
    return this.merge([{ ...member, liveness }]).length > 0;
  }

  /** Drops what is held about a dead or departed member. */
  forget(instance: string): void {
    const member = this.#members.get(instance);
    if (!member || !isGone(member) || member === this.#self) return;
    this.digest.remove(member);
    this.#members.delete(instance);
    this.#generation += 1;
  }

  /** States the own endpoint. */
  announce(endpoint: Endpoint | undefined): void {
    this.#state({ ...this.#self, endpoint, sequence: this.#self.sequence + 1 });
  }

  /** States that this process leaves. */
  leave(): void {
    this.#state({ ...this.#self, liveness: 'left', sequence: this.#self.sequence + 1 });
  }

  #state(self: Member): void {
    this.#self = self;
    this.#put(self);
    this.#announce([self], OWN);
  }

  #take(member: Member): Member | undefined {
    if (member.instance === this.#self.instance) return this.#refute(member);
    const held = this.#members.get(member.instance);
    if (held && !isNewer(member, held)) return undefined;
    this.#put(member);
    return member;
  }

  /**
   * Others hold a newer statement about this process than its own: it was paused and is believed
   * dead, or an earlier life of it had a clock that ran ahead. Were that left to stand, its
   * endpoint would get no work for good. One incarnation above overrides it everywhere.
   */
  #refute(statement: Member): Member | undefined {
    const own = this.#self;
    if (own.liveness === 'left' || !isNewer(statement, own)) return undefined;
    this.#refutations += 1;
    this.#self = { ...own, incarnation: statement.incarnation + 1 };
    this.#put(this.#self);
    return this.#self;
  }

  #put(member: Member): void {
    const before = this.#members.get(member.instance);
    this.digest.replace(before, member);
    this.#members.set(member.instance, member);
    this.#live = undefined;
    this.#generation += 1;
    if (!before || hasMoved(before, member)) this.#topology += 1;
  }

  #announce(news: readonly Member[], origin: Origin): void {
    for (const listener of this.#listeners) listener(news, origin);
  }
}

function hasMoved(before: Member, after: Member): boolean {
  return (
    before.liveness !== after.liveness ||
    before.incarnation !== after.incarnation ||
    before.dataCentre !== after.dataCentre ||
    before.host !== after.host ||
    before.linkPort !== after.linkPort
  );
}
