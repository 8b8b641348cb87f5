/** What is out of order at an instant, by the changes of a pattern. */
import { type Change, type Pattern } from './pattern.js';

const MS_PER_SECOND = 1_000;

export class Weather {
  constructor(
    private readonly pattern: Pattern,
    /** In milliseconds since the epoch. */
    private readonly startAt: number,
  ) {}

  /** Times the usual requests that come in a data centre. */
  rateIn(dataCentre: string, now: number): number {
    let rate = 1;
    for (const change of this.#under(now)) {
      const isHere = (change.dataCentre ?? dataCentre) === dataCentre;
      if (change.what === 'burst' && isHere) rate *= change.factor;
      if (change.what === 'shift') rate *= this.#shifted(change, dataCentre);
    }
    return rate;
  }

  /** Times the usual time that work takes at the instance of that index. */
  slowness(upstream: string, index: number, now: number): number {
    return this.#of('slow', upstream, index, now)?.factor ?? 1;
  }

  /** Share of its work that the instance refuses. */
  refusing(upstream: string, index: number, now: number): number {
    return this.#of('grey', upstream, index, now)?.factor ?? 0;
  }

  isGone(upstream: string, index: number, now: number): boolean {
    return this.#of('gone', upstream, index, now) !== undefined;
  }

  /** Whether all processes are away. */
  isHerdAway(now: number): boolean {
    return this.#under(now).some(({ what }) => what === 'herd');
  }

  /** How often all processes have begun anew until `now`. */
  lives(now: number): number {
    const isOver = ({ what, at, forSeconds }: Change) =>
      what === 'herd' && now >= this.startAt + (at + forSeconds) * MS_PER_SECOND;
    return this.pattern.changes.filter(isOver).length;
  }

  isCut(one: string, other: string, now: number): boolean {
    if (one === other) return false;
    return this.#under(now).some(
      ({ what, dataCentre }) => what === 'cut' && (dataCentre === one || dataCentre === other),
    );
  }

  #shifted({ share, dataCentre }: Change, here: string): number {
    const dataCentres = dataCentresOf(this.pattern).length;
    return here === dataCentre ? 1 + share * (dataCentres - 1) : 1 - share;
  }

  #of(what: Change['what'], upstream: string, index: number, now: number): Change | undefined {
    const size = this.pattern.upstreams.find(({ name }) => name === upstream)!.instances.length;
    return this.#under(now).find(
      (change) =>
        change.what === what &&
        (change.upstream ?? upstream) === upstream &&
        index < Math.max(1, Math.round(change.share * size)),
    );
  }

  #under(now: number): Change[] {
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
