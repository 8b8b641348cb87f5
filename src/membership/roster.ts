/** What one process knows of all the others. */
import { createHash } from 'node:crypto';
import { canonical } from '../configuration/digest.js';
import { type Endpoint, type Liveness, type Member } from '../contracts.js';

/** How strongly a statement about liveness overrides another of the same age. */
const PRECEDENCE: Record<Liveness, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Members by instance. Newer statements replace older ones; the member itself has the last word. */
export class Roster {
  readonly #members = new Map<string, Member>();

  readonly #hashes = new Map<string, number>();

  readonly #listeners = new Set<(members: readonly Member[]) => void>();

  #hash = 0;

  #generation = 0;

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

  /** Equal for two rosters that hold the same statements, whatever the order they came in. */
  get hash(): string {
    return (this.#hash >>> 0).toString(36);
  }

  get(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Members that may hold links, and work for which one may still hope. */
  live(): Member[] {
    return this.all().filter(
      (member) => member.liveness === 'alive' || member.liveness === 'suspect',
    );
  }

  /** How many live members have an endpoint that takes work. */
  get endpoints(): number {
    return this.live().filter((member) => member.endpoint?.state === 'ready').length;
  }

  /** Calls `listener` with the statements that were news. */
  onNews(listener: (members: readonly Member[]) => void): void {
    this.#listeners.add(listener);
  }

  /** Takes over what is newer; returns the statements that were news. */
  merge(statements: readonly Member[]): Member[] {
    const news = statements
      .map((member) => this.#take(member))
      .filter((member) => member !== undefined);
    if (news.length > 0) this.#announce(news);
    return news;
  }

  /** States that a neighbour's liveness has changed. */
  mark(instance: string, liveness: Liveness): void {
    const member = this.#members.get(instance);
    if (member && instance !== this.#self.instance) this.merge([{ ...member, liveness }]);
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
    this.#announce([self]);
  }

  #take(member: Member): Member | undefined {
    if (member.instance === this.#self.instance) return this.#refute(member);
    const held = this.#members.get(member.instance);
    if (held && !isNewer(member, held)) return undefined;
    this.#put(member);
    return member;
  }

  /**
   * A neighbour believes this process dead, perhaps because it was paused. Were that left to
   * stand, its endpoint would get no work for good. A higher incarnation overrides it everywhere.
   */
  #refute(member: Member): Member | undefined {
    const own = this.#self;
    if (member.liveness === 'alive' || own.liveness === 'left' || !isNewer(member, own))
      return undefined;
    this.#self = { ...own, incarnation: Math.max(own.incarnation, member.incarnation) + 1 };
    this.#put(this.#self);
    return this.#self;
  }

  #put(member: Member): void {
    const before = this.#hashes.get(member.instance) ?? 0;
    const after = hashOf(member);
    this.#hash ^= before ^ after;
    this.#hashes.set(member.instance, after);
    this.#members.set(member.instance, member);
    this.#generation += 1;
  }

  #announce(news: readonly Member[]): void {
    for (const listener of this.#listeners) listener(news);
  }
}

function isNewer(statement: Member, held: Member): boolean {
  if (statement.incarnation !== held.incarnation) return statement.incarnation > held.incarnation;
  if (statement.sequence !== held.sequence) return statement.sequence > held.sequence;
  return PRECEDENCE[statement.liveness] > PRECEDENCE[held.liveness];
}

function hashOf(member: Member): number {
  return createHash('sha1').update(canonical(member)).digest().readInt32BE(0);
}
