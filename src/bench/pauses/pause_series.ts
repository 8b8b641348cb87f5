/** Pauses readers, and those that take over from them, in waves while versions are published. */
import { type Member } from '../../contracts.js';
import { Ranking, READERS_PER_DATA_CENTRE } from '../../membership/ranking.js';
import { Roster } from '../../membership/roster.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { type MeshFleet } from '../mesh_fleet.js';

const FANOUT = 8;
const VERSIONS = 3;
const VERSION_INTERVAL_MS = 300;
/** Time between two steps of a wave, and until its paused processes run again, in milliseconds. */
const STEP_MS = 1_500;
/** Longest time from a pause to the first version after it, in milliseconds. */
const MAX_DELAY_MS = 200;
/** Paused processes are back in their roles after this time, in milliseconds. */
const CALM_MS = 12_000;
const RANDOM_SHARE = 0.35;

/** Which processes a wave pauses, step by step. */
export const WAVES = ['readers', 'takers-over', 'takers-over-of-one', 'random'] as const;
export type Wave = (typeof WAVES)[number];

/** A version that was published during a wave. */
export interface PublishedVersion {
  readonly wave: Wave;
  /** Index of the route that came with it. */
  readonly route: number;
  /** In milliseconds since the epoch. */
  readonly acknowledgedAt: number;
}

export class PauseSeries {
  readonly versions: PublishedVersion[] = [];

  /** Indexes of the machines that the current wave has paused so far. */
  readonly paused = new Set<number>();

  readonly #ranked: ReadonlyMap<string, readonly number[]>;

  constructor(
    private readonly fleet: MeshFleet,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#ranked = rankedMachines(fleet);
  }

  /** Plays one wave and waits until the paused processes are back. */
  async play(wave: Wave): Promise<void> {
    for (const machines of this.#stepsOf(wave)) {
      this.#pause(machines);
      await this.#sleep(this.random.jitter(MAX_DELAY_MS));
      await this.#publish(wave);
      await this.#sleep(STEP_MS - VERSIONS * VERSION_INTERVAL_MS);
    }
    await this.#sleep(2 * STEP_MS);
    this.resume();
    await this.#sleep(CALM_MS);
  }

  /** Lets all processes run. */
  resume(): void {
    for (const machine of this.paused) this.fleet.programs[machine]!.signal('SIGCONT');
    this.paused.clear();
  }

  async #publish(wave: Wave): Promise<void> {
    for (let count = 0; count < VERSIONS; count += 1) {
      const route = await this.fleet.publishVersion();
      this.versions.push({ wave, route, acknowledgedAt: this.clock.now() });
      await this.#sleep(VERSION_INTERVAL_MS);
    }
  }

  #stepsOf(wave: Wave): number[][] {
    const all = [...this.#ranked.values()];
    if (wave === 'readers') return [readersOf(all)];
    if (wave === 'takers-over') return takersOver(all);
    if (wave === 'takers-over-of-one') return takersOver([all[this.random.below(all.length)]!]);
    const machines = this.random.shuffled(all.flat());
    return [machines.slice(0, Math.floor(machines.length * RANDOM_SHARE))];
  }

  #pause(machines: readonly number[]): void {
    for (const machine of machines) {
      this.paused.add(machine);
      this.fleet.programs[machine]!.signal('SIGSTOP');
    }
  }

  #sleep(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.now() + ms);
  }
}

function readersOf(ranked: readonly (readonly number[])[]): number[] {
  return ranked.flatMap((machines) => machines.slice(0, READERS_PER_DATA_CENTRE));
}

/** The readers first, then the one after them twice. */
function takersOver(ranked: readonly (readonly number[])[]): number[][] {
  const [third, fourth] = [READERS_PER_DATA_CENTRE, READERS_PER_DATA_CENTRE + 1];
  return [
    readersOf(ranked),
    ranked.map((machines) => machines[third]!),
    ranked.map((machines) => machines[fourth]!),
  ];
}

/** Indexes of the machines of each data centre by the rank of their processes. */
function rankedMachines({ machines }: MeshFleet): ReadonlyMap<string, readonly number[]> {
  const [self, ...others] = machines.map(({ name, host, dataCentre }): Member => ({
    instance: name,
    dataCentre,
    host,
    linkPort: 0,
    guardPort: 0,
    operatorsPort: 0,
    incarnation: 0,
    sequence: 0,
    liveness: 'alive',
  }));
  const roster = new Roster(self!);
  roster.merge(others);
  const ranking = new Ranking(roster, FANOUT);
  const indexOf = ({ instance }: Member) => machines.findIndex(({ name }) => name === instance);
  return new Map(ranking.dataCentres().map((name) => [name, ranking.ranked(name).map(indexOf)]));
}
