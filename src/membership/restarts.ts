/** Notices processes that ended, and started again, without having announced that they leave. */
import { type Member } from '../contracts.js';
import { setBounded } from '../runtime/bounded_map.js';
import { type Roster } from './roster.js';

/**
 * Smallest difference of incarnations that is a restart, in milliseconds: an incarnation is the time of
 * the start, and a process that refutes a record about itself adds one.
 */
const MIN_RESTART_MS = 50;
const MAX_MEMBERS = 4_096;

/**
 * A process that is killed or aborted writes no line. Its next start is known to all others, and
 * whether they had heard that it leaves. One that was cut off meanwhile may have missed that.
 */
export class Restarts {
  /** Called with the first record of a process that started again. */
  onUnannounced: (member: Member) => void = () => {};

  #unannounced = 0;

  /** The latest record of each process. */
  readonly #known = new Map<string, Member>();

  constructor(private readonly roster: Roster) {
    roster.onUpdate((members) => members.forEach((member) => this.#update(member)));
  }

  /** Unannounced ends of other processes that have started again, since the start of this one. */
  get unannounced(): number {
    return this.#unannounced;
  }

  #update(member: Member): void {
    const { instance, incarnation, sequence } = member;
    // Registrations on the platform may be of an earlier run, whose departure they do not tell.
    if (sequence < 0 || instance === this.roster.self.instance) return;
    const before = this.#known.get(instance);
    setBounded(this.#known, instance, member, MAX_MEMBERS);
    if (!before || before.liveness === 'left') return;
    if (incarnation - before.incarnation < MIN_RESTART_MS) return;
    this.#unannounced += 1;
    this.onUnannounced(member);
  }
}
