/** Checks that every process in touch holds each version in time, whatever happens to the others. */
import { type Node } from './test_fleet.js';
import { APPLY_MS, type ObjectFleet } from './object_fleet.js';

/** A process counts as in touch again this long after it was last impaired, in milliseconds. */
export const STABLE_MS = 3_000;
const STEP_MS = 25;

/** A version that a process in touch did not hold in time. */
export interface Lateness {
  readonly name: string;
  readonly version: number;
  /** Time from the acknowledgement, in milliseconds. */
  readonly lateMs: number;
}

export class TouchCheck {
  readonly late: Lateness[] = [];

  /** Times from the acknowledgement of a version until a process in touch held it, in milliseconds. */
  readonly lags: number[] = [];

  readonly #impairedAt = new Map<string, number>();

  /** Latest version seen at a process. */
  readonly #held = new Map<string, number>();

  /** Indexed by version. */
  readonly #acknowledgedAt: number[] = [];

  constructor(
    private readonly objects: ObjectFleet,
    /** Processes that are impaired at the moment. */
    private readonly impaired: ReadonlySet<string>,
  ) {}

  /** Records that processes were impaired for a moment. */
  markImpaired(names: Iterable<string>): void {
    for (const name of names) this.#impairedAt.set(name, this.#now);
  }

  async write(): Promise<void> {
    await this.objects.write();
    this.#acknowledgedAt[this.objects.version] = this.#now;
  }

  /** Lets time pass, and looks at all processes in short steps. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.objects.fleet.time.advance(Math.min(STEP_MS, ms - passed));
      this.markImpaired(this.impaired);
      for (const node of this.objects.fleet.alive) this.#look(node);
    }
  }

  get #now(): number {
    return this.objects.fleet.clock.now();
  }

  #look({ name, control }: Node): void {
    const held = control.replica.current.number;
    const isInTouch = this.#now - (this.#impairedAt.get(name) ?? 0) >= STABLE_MS;
    const before = this.#held.get(name) ?? held;
    this.#held.set(name, held);
    if (!isInTouch || !control.readiness.isReady) return;
    for (let version = before + 1; version <= held; version += 1) {
      const acknowledgedAt = this.#acknowledgedAt[version];
      if (acknowledgedAt !== undefined) this.lags.push(this.#now - acknowledgedAt);
    }
    const due = this.#acknowledgedAt[held + 1];
    if (due === undefined || this.#now - due <= APPLY_MS) return;
    this.late.push({ name, version: held + 1, lateMs: this.#now - due });
  }
}
