import { expect } from 'chai';
import fc from 'fast-check';
import { Fleet } from './fleet.js';

const SEED = 4;
const RUNS = 12;
const SIZE = 8;
const DATA_CENTRES = ['arima', 'couva'];
const HEAL_MS = 120_000;

type Fault = 'kill' | 'stop' | 'restart' | 'cut' | 'heal' | 'silence';

interface Step {
  readonly fault: Fault;
  readonly number: number;
  /** Time until the next step, in milliseconds. */
  readonly waitMs: number;
}

const step = fc.record<Step>({
  fault: fc.constantFrom('kill', 'stop', 'restart', 'cut', 'heal', 'silence'),
  number: fc.nat(SIZE - 1),
  waitMs: fc.constantFrom(0, 50, 2_000, 6_000),
});

/** A fleet in which faults can be injected. */
class FaultyFleet extends Fleet {
  override start(number: number, dataCentre = DATA_CENTRES[number % 2]!) {
    return super.start(number, dataCentre, [0, 1, 2]);
  }

  async inject({ fault, number, waitMs }: Step): Promise<void> {
    const node = this.nodes.find(({ self }) => self.linkPort === number);
    switch (fault) {
      case 'kill':
      case 'stop':
        if (node) {
          this.nodes.splice(this.nodes.indexOf(node), 1);
          void node[fault]();
        }
        break;
      case 'restart':
        if (!node) this.start(number);
        break;
      case 'silence':
        this.#silence(number, (number + 2) % SIZE);
        break;
      case 'cut':
        this.cut((one, other) => one % 2 !== other % 2);
        break;
      default:
        this.network.heal();
    }
    await this.time.advance(waitMs);
  }

  #silence(...ports: readonly number[]): void {
    const [one, other] = this.nodes.filter(({ self }) => ports.includes(self.linkPort));
    if (one && other) this.network.silence(one.host, other.host);
  }
}

describe('membership under faults', () => {
  // Guards against rosters that stay different after any sequence of kills, stops, restarts, silent
  // links and partitions between data centres.
  it('agrees on the live members once faults end', async function test() {
    this.timeout(60_000);
    const property = fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      await using fleet = new FaultyFleet();
      for (let number = 0; number < SIZE; number++) fleet.start(number);
      await fleet.time.advance(1_000);
      for (const each of steps) await fleet.inject(each);
      fleet.network.heal();
      const size = fleet.nodes.length;
      const tookMs = await fleet.until(() => fleet.agrees(size), HEAL_MS);
      expect(tookMs, JSON.stringify(steps)).to.be.below(HEAL_MS);
      const own = fleet.nodes.every(({ roster }) => roster.self.liveness === 'alive');
      expect(own).to.equal(true);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
