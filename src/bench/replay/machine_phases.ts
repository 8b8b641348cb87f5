/** The speed of a simulated machine that it shares with other work: usual and slow phases in turn. */
import { type Random } from '../../runtime/random.js';
import { type MachineSharing } from './pattern.js';

interface Phase {
  /** By which work takes longer than usual. */
  readonly factor: number;
  /** In milliseconds since the epoch. */
  readonly until: number;
}

/** Phases of exponentially distributed lengths. */
export class MachinePhases {
  readonly #phases: Phase[] = [];

  #isSlow: boolean;

  constructor(
    private readonly sharing: MachineSharing,
    private readonly startAt: number,
    private readonly random: Random,
  ) {
    this.#isSlow = random.next() < sharing.slowShare;
  }

  factorAt(now: number): number {
    return this.#phaseAt(now).factor;
  }

  /** The instant at which work is done that begins at `startAt` and usually takes `workMs`. */
  endOf(startAt: number, workMs: number): number {
    let at = startAt;
    let leftMs = workMs;
    for (;;) {
      const { factor, until } = this.#phaseAt(at);
      if (at + leftMs * factor < until) return at + leftMs * factor;
      leftMs -= (until - at) / factor;
      at = until;
    }
  }

  #phaseAt(now: number): Phase {
    const phases = this.#phases;
    while ((phases.at(-1)?.until ?? -Infinity) <= now) this.#append();
    return phases[phases.findLastIndex(({ until }) => until <= now) + 1]!;
  }

  #append(): void {
    const { slowShare, factor, changeMs } = this.sharing;
    const from = this.#phases.at(-1)?.until ?? this.startAt;
    const isSlow = this.#isSlow;
    const meanMs = 2 * changeMs * (isSlow ? slowShare : 1 - slowShare);
    const until = from - Math.log(1 - this.random.next()) * meanMs;
    this.#phases.push({ factor: isSlow ? factor : 1, until });
    this.#isSlow = !isSlow;
  }
}
