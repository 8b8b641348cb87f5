/** Periodically dials members believed dead, to find those that are reachable again. */
import { type Member } from '../contracts.js';
import { type Address, type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';
import { type Roster } from './roster.js';

/** Shortest wait between two rounds of probes, in milliseconds, plus up to as much jitter. */
const MIN_PROBE_INTERVAL_MS = 1_500;

/**
 * Two data centres separated by a network partition believe each other dead and stop dialling, so
 * they would stay separate after it heals. In each round, each reader (two per data centre)
 * dials one dead member of each data centre without live members, one of all dead members, and one
 * configured address to which there is no live member. A process that answers receives the record
 * held about it and refutes it.
 */
export class Probe {
  constructor(
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Configured addresses of link ports. */
    private readonly addresses: () => readonly Address[],
  ) {}

  /** Probes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wait = MIN_PROBE_INTERVAL_MS + this.random.jitter(MIN_PROBE_INTERVAL_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      if (signal.aborted) return;
      if (this.ranking.isReader) await this.#probeOnce();
    }
  }

  async #probeOnce(): Promise<void> {
    const targets = new Map<string, Address>();
    for (const address of [...this.#deadAddresses(), ...this.#unlinkedAddresses()]) {
      targets.set(formatAddress(address), address);
    }
    await Promise.all([...targets.values()].map((address) => this.mesh.tryDial(address)));
  }

  #deadAddresses(): Address[] {
    const dead = this.roster.all().filter(({ liveness }) => liveness === 'dead');
    const known = new Set(this.ranking.dataCentres());
    const lost = new Set(
      dead.map(({ dataCentre }) => dataCentre).filter((name) => !known.has(name)),
    );
    const ofLost = [...lost].flatMap((name) =>
      this.#pickOne(dead.filter(({ dataCentre }) => dataCentre === name)),
    );
    return [...ofLost, ...this.#pickOne(dead)].map(addressOf);
  }

  #unlinkedAddresses(): Address[] {
    const met = new Set(this.roster.live().map((member) => formatAddress(addressOf(member))));
    return this.#pickOne(this.addresses().filter((address) => !met.has(formatAddress(address))));
  }

  #pickOne<T>(items: readonly T[]): T[] {
    return items.length === 0 ? [] : [items[this.random.below(items.length)]!];
  }
}

function addressOf({ host, linkPort }: Member): Address {
  return { host, port: linkPort };
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
