/** The effects of a pattern's scheduled changes at an instant. */
import { type PatternChange, type Pattern } from './pattern.js';

const MS_PER_SECOND = 1_000;

export class ChangeSchedule {
  constructor(
    private readonly pattern: Pattern,
    /** In milliseconds since the epoch. */
    private readonly startAt: number,
  ) {}

  /** Factor by which the request rate of a data centre differs from the usual one. */
  loadFactor(dataCentre: string, now: number): number {
    let rate = 1;
    for (const change of this.#active(now)) {
      const isHere = (change.dataCentre ?? dataCentre) === dataCentre;
      if (change.what === 'burst' && isHere) rate *= change.factor;
      if (change.what === 'shift') rate *= this.#shiftFactor(change, dataCentre);
    }
    return rate;
  }

  /** Factor by which work at the instance of that index takes longer than usual. */
  workTimeFactor(upstream: string, index: number, now: number): number {
    return this.#activeFor('slow', upstream, index, now)?.factor ?? 1;
  }

  /** Share of its requests that the instance refuses. */
  refusalRate(upstream: string, index: number, now: number): number {
    return this.#activeFor('grey', upstream, index, now)?.factor ?? 0;
  }

  /** Requests per second that the instance states it takes; `Infinity` without a limit. */
  rateLimit(upstream: string, index: number, now: number): number {
    return this.#activeFor('limited', upstream, index, now)?.factor ?? Infinity;
  }

  isDown(upstream: string, index: number, now: number): boolean {
    return this.#activeFor('gone', upstream, index, now) !== undefined;
  }

  /** Whether all processes are down. */
  areAllDown(now: number): boolean {
    return this.#active(now).some(({ what }) => what === 'herd');
  }

  /** How often all processes have restarted until `now`. */
  restartCount(now: number): number {
    const isOver = ({ what, at, forSeconds }: PatternChange) =>
      what === 'herd' && now >= this.startAt + (at + forSeconds) * MS_PER_SECOND;
    return this.pattern.changes.filter(isOver).length;
  }

  isPartitioned(one: string, other: string, now: number): boolean {
    if (one === other) return false;
    return this.#active(now).some(
      ({ what, dataCentre }) => what === 'cut' && (dataCentre === one || dataCentre === other),
    );
  }

  #shiftFactor({ share, dataCentre }: PatternChange, here: string): number {
    const dataCentres = dataCentresOf(this.pattern).length;
    return here === dataCentre ? 1 + share * (dataCentres - 1) : 1 - share;
  }

  #activeFor(
    what: PatternChange['what'],
    upstream: string,
    index: number,
    now: number,
  ): PatternChange | undefined {
    const size = this.pattern.upstreams.find(({ name }) => name === upstream)!.instances.length;
    return this.#active(now).find(
      (change) =>
        change.what === what &&
        (change.upstream ?? upstream) === upstream &&
        index < Math.max(1, Math.round(change.share * size)),
    );
  }

  #active(now: number): PatternChange[] {
    const second = (now - this.startAt) / MS_PER_SECOND;
    return this.pattern.changes.filter(
      ({ at, forSeconds }) => second >= at && second < at + forSeconds,
    );
  }
}

export function dataCentresOf({ upstreams }: Pattern): string[] {
  const named = upstreams.flatMap(({ instances }) => instances.map((each) => each.dataCentre));
  return [...new Set(named)].sort();
}
