/** The members known to one process. */
import { type Endpoint, type Liveness, type Member } from '../contracts.js';
import { RosterDigest } from './roster_digest.js';
import { isDeadOrLeft, isNewer } from './member_record.js';
import { callEach } from '../runtime/faults.js';

/** Where records came from. */
export interface UpdateOrigin {
  /** The instance that sent them, to which they are not sent back. */
  readonly instance?: string;
  /** Whether they are a whole roster, which is not forwarded: neighbours reconcile instead. */
  readonly isBulk?: boolean;
}

type UpdateListener = (members: readonly Member[], origin: UpdateOrigin) => void;

const LOCAL_ORIGIN: UpdateOrigin = {};

/** Members by instance. Newer records replace older ones; a process refutes those about itself. */
export class Roster {
  readonly #members = new Map<string, Member>();

  readonly #listeners = new Set<UpdateListener>();

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

  /** Increases with every change, so that derived data can be cached. */
  get generation(): number {
    return this.#generation;
  }

  /** Increases when liveness, incarnation or addresses of a member change, but not its endpoint. */
  get topology(): number {
    return this.#topology;
  }

  /** Equal for two rosters with the same records of live members, whatever order they came in. */
  get hash(): string {
    return this.digest.total;
  }

  get size(): number {
    return this.#members.size;
  }

  /** How often this process has refuted a record about itself. */
  get refutations(): number {
    return this.#refutations;
  }

  /** Number of members by liveness. */
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

  /** Members that are alive or suspected, which may have links and may still finish their work. */
  live(): readonly Member[] {
    this.#live ??= this.all().filter((member) => !isDeadOrLeft(member));
    return this.#live;
  }

  /** Number of live members whose endpoint is ready. */
  get readyEndpointCount(): number {
    return this.live().filter((member) => member.endpoint?.state === 'ready').length;
  }

  /** Calls `listener` with the records that changed, after each update. */
  onUpdate(listener: UpdateListener): void {
    this.#listeners.add(listener);
  }

  /** Applies records newer than those held; returns the records that changed. */
  merge(records: readonly Member[], origin: UpdateOrigin = LOCAL_ORIGIN): Member[] {
    const changed = records
      .map((member) => this.#apply(member))
      .filter((member) => member !== undefined);
    if (changed.length > 0) this.#notify(changed, origin);
    return changed;
  }

  /** Changes the liveness of another member; false if the record held overrides the change. */
  setLiveness(instance: string, liveness: Liveness): boolean {
    const member = this.#members.get(instance);
    if (!member || instance === this.#self.instance) return false;
    return this.merge([{ ...member, liveness }]).length > 0;
  }

  /** Removes a dead or departed member. */
  forget(instance: string): void {
    const member = this.#members.get(instance);
    if (!member || !isDeadOrLeft(member) || member === this.#self) return;
    this.digest.remove(member);
    this.#members.delete(instance);
    this.#generation += 1;
  }

  /** Publishes the local endpoint. */
  setEndpoint(endpoint: Endpoint | undefined): void {
    this.#updateSelf({ ...this.#self, endpoint, sequence: this.#self.sequence + 1 });
  }

  /** Publishes that this process is leaving. */
  leave(): void {
    this.#updateSelf({ ...this.#self, liveness: 'left', sequence: this.#self.sequence + 1 });
  }

  #updateSelf(self: Member): void {
    this.#self = self;
    this.#put(self);
    this.#notify([self], LOCAL_ORIGIN);
  }

  #apply(member: Member): Member | undefined {
    if (member.instance === this.#self.instance) return this.#refute(member);
    const held = this.#members.get(member.instance);
    if (held && !isNewer(member, held)) return undefined;
    this.#put(member);
    return member;
  }

  /**
   * Refutes a record about this process that is newer than its own: the process was paused and is
   * believed dead, or its clock ran ahead before a restart. If it stood, its endpoint would get no
   * work for good. The next higher incarnation overrides it everywhere.
   */
  #refute(record: Member): Member | undefined {
    const own = this.#self;
    if (own.liveness === 'left' || !isNewer(record, own)) return undefined;
    this.#refutations += 1;
    this.#self = { ...own, incarnation: record.incarnation + 1 };
    this.#put(this.#self);
    return this.#self;
  }

  #put(member: Member): void {
    const before = this.#members.get(member.instance);
    this.digest.replace(before, member);
    this.#members.set(member.instance, member);
    this.#live = undefined;
    this.#generation += 1;
    if (!before || changesTopology(before, member)) this.#topology += 1;
  }

  #notify(changed: readonly Member[], origin: UpdateOrigin): void {
    callEach('roster', this.#listeners, changed, origin);
  }
}

function changesTopology(before: Member, after: Member): boolean {
  return (
    before.liveness !== after.liveness ||
    before.incarnation !== after.incarnation ||
    before.dataCentre !== after.dataCentre ||
    before.host !== after.host ||
    before.linkPort !== after.linkPort
  );
}
