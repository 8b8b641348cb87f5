/** Looks now and then whether those believed dead have come back. */
import { type Member } from '../contracts.js';
import { type Address, type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';
import { type Roster } from './roster.js';

/** Least time between two rounds of probes, in milliseconds; as much again is jitter. */
const PROBE_EVERY_MS = 1_500;

/**
 * Two data centres that were cut from each other believe each other dead: nobody dials any more,
 * and both would stay apart for good after the cut is mended. So the readers, two per data centre,
 * dial one dead member of each data centre that is gone as a whole, one of all dead members and
 * one address from the settings. Whoever answers hears what is believed of it, and refutes that.
 */
export class Probe {
  constructor(
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Link ports from the settings. */
    private readonly addresses: () => readonly Address[],
  ) {}

  /** Probes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wait = PROBE_EVERY_MS + this.random.jitter(PROBE_EVERY_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      if (signal.aborted) return;
      if (this.ranking.isReader) await this.#round();
    }
  }

  async #round(): Promise<void> {
    const targets = new Map<string, Address>();
    for (const address of [...this.#dead(), ...this.#unmet()]) {
      targets.set(textOf(address), address);
    }
    await Promise.all([...targets.values()].map((address) => this.mesh.introduce(address)));
  }

  #dead(): Address[] {
    const dead = this.roster.all().filter(({ liveness }) => liveness === 'dead');
    const known = new Set(this.ranking.dataCentres());
    const lost = new Set(
      dead.map(({ dataCentre }) => dataCentre).filter((name) => !known.has(name)),
    );
    const ofLost = [...lost].flatMap((name) =>
      this.#one(dead.filter(({ dataCentre }) => dataCentre === name)),
    );
    return [...ofLost, ...this.#one(dead)].map(addressOf);
  }

  #unmet(): Address[] {
    const met = new Set(this.roster.live().map((member) => textOf(addressOf(member))));
    return this.#one(this.addresses().filter((address) => !met.has(textOf(address))));
  }

  #one<T>(items: readonly T[]): T[] {
    return items.length === 0 ? [] : [items[this.random.below(items.length)]!];
  }
}

function addressOf({ host, linkPort }: Member): Address {
  return { host, port: linkPort };
}

function textOf({ host, port }: Address): string {
  return `${host}:${port}`;
}
