/** The emulated deployment: its processes, its callers and what happens to them. */
import { asOutcome, type Member } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { Books } from './books.js';
import { type Kind, type Pattern } from './pattern.js';
import { type Policy } from './policy.js';
import { type Asker, Station } from './station.js';
import { dataCentresOf, Weather } from './weather.js';

const MS_PER_SECOND = 1_000;
/** One way between callers and their data centre, in milliseconds. */
const CALLER_MS = 8;
/** Callers wait for as long at most when they are told when to come back, of what is left. */
const PATIENCE = 1 / 3;
/** How much less than the longest wait callers have, at most. */
const IMPATIENCE = 0.15;
/** When a caller asks again who was told nothing, in milliseconds. */
const AGAIN_MS = 200;

export class World {
  readonly weather: Weather;

  readonly books: Books;

  readonly members: Member[] = [];

  readonly #stations: Station[] = [];

  readonly #startAt: number;

  /** Callers who have not been answered for good. */
  readonly #open = new Set<Promise<void>>();

  constructor(
    private readonly pattern: Pattern,
    policy: Policy,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#startAt = clock.now();
    this.weather = new Weather(pattern, this.#startAt);
    this.books = new Books(this.#startAt);
    const places = pattern.upstreams.flatMap(({ name, instances }) =>
      instances.map((instance, index) => ({ name, index, ...instance })),
    );
    this.members = places.map(({ name, index, dataCentre, slots }) =>
      memberOf(`${name}-${index}`, dataCentre, { upstream: name, state: 'ready', slots }),
    );
    places.forEach(({ index, speed, linkKbps }, place) => {
      const member = this.members[place]!;
      this.#stations.push(new Station(member, index, speed, linkKbps, policy, this, clock, random));
    });
  }

  stationOf(instance: string): Station {
    return this.#stations.find(({ member }) => member.instance === instance)!;
  }

  kindOf(name: string): Kind {
    return this.pattern.kinds.find((kind) => kind.name === name)!;
  }

  /** Notes what crossed between data centres. */
  carried(from: Station, to: Station, bytes: number): void {
    if (from.dataCentre !== to.dataCentre) this.books.crossed += bytes;
  }

  /** Resolves when every caller has been answered for good. */
  async play(): Promise<Books> {
    const dataCentres = dataCentresOf(this.pattern);
    const outside = this.pattern.kinds.filter(({ perSecond }) => perSecond > 0);
    const streams = outside.flatMap((kind) =>
      dataCentres.map((dataCentre) => this.#stream(kind, dataCentre, dataCentres.length)),
    );
    await Promise.all(streams);
    await Promise.all(this.#open);
    return this.books;
  }

  /** Callers come one by one, at random instants. */
  async #stream(kind: Kind, dataCentre: string, dataCentres: number): Promise<void> {
    const endAt = this.#startAt + this.pattern.seconds * MS_PER_SECOND;
    for (;;) {
      const now = this.clock.now();
      const perSecond =
        (kind.perSecond / dataCentres) * Math.max(0.01, this.weather.rateIn(dataCentre, now));
      const pauseMs = (-Math.log(1 - this.random.next()) / perSecond) * MS_PER_SECOND;
      await this.clock.sleepUntil(now + pauseMs);
      if (this.clock.now() >= endAt) return;
      const caller = this.#serve(kind, dataCentre);
      this.#open.add(caller);
      void caller.finally(() => this.#open.delete(caller));
    }
  }

  /** A caller with its attempts. */
  async #serve(kind: Kind, dataCentre: string): Promise<void> {
    const firstAt = this.clock.now();
    const givesUpAt = firstAt + kind.waitMs * (1 - IMPATIENCE * this.random.next());
    const asker: Asker = { asks: this.random.nonce(), givesUpAt };
    const stations = this.#stations.filter((station) => station.dataCentre === dataCentre);
    const station = stations[this.random.below(stations.length)]!;
    let refusals = 0;
    for (let attempt = 0; ; attempt++) {
      const failure = await this.#attempt(kind, station, asker);
      const now = this.clock.now();
      if (!failure) {
        this.books.served(kind, dataCentre, firstAt, now);
        return;
      }
      if (failure.verdict === 'not-run') refusals += 1;
      const mayAsk = kind.isRepeatable || failure.verdict === 'not-run';
      const left = givesUpAt - now;
      const pauseMs = Math.min((failure.retryAt ?? now + AGAIN_MS) - now, left * PATIENCE);
      if (!mayAsk || attempt >= kind.retries || left <= CALLER_MS) {
        this.books.lost(kind, dataCentre, firstAt, failure.verdict, refusals);
        return;
      }
      await this.clock.sleepUntil(now + pauseMs);
    }
  }

  async #attempt(kind: Kind, station: Station, asker: Asker) {
    await this.clock.sleepUntil(this.clock.now() + CALLER_MS);
    try {
      if (this.weather.isHerdAway(this.clock.now())) throw new Error('nobody listens');
      await station.ask(kind, asker);
      await this.clock.sleepUntil(this.clock.now() + CALLER_MS);
      return undefined;
    } catch (error) {
      await this.clock.sleepUntil(this.clock.now() + CALLER_MS);
      return asOutcome(error);
    }
  }
}

function memberOf(instance: string, dataCentre: string, endpoint: Member['endpoint']): Member {
  return {
    instance,
    dataCentre,
    host: '127.0.0.1',
    linkPort: 1,
    guardPort: 2,
    operatorsPort: 3,
    incarnation: 1,
    sequence: 1,
    liveness: 'alive',
    endpoint,
  };
}
