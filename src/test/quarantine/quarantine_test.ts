import { expect } from 'chai';
import fc from 'fast-check';
import { MAX_BULLETIN_ITEMS, OutcomeError } from '../../contracts.js';
import { Bulletins } from '../../quarantine/bulletins.js';
import {
  MEMORY_MS,
  Quarantine,
  QUARANTINE_MS,
  READ_QUARANTINE_MS,
} from '../../quarantine/quarantine.js';
import { headFingerprint } from '../../quarantine/request_fingerprint.js';
import { SeededRandom } from '../../runtime/random.js';
import { TestFleet } from '../distribution/test_fleet.js';
import { FakeTime } from '../fake_time.js';

const POISON = headFingerprint('bookings', {
  method: 'POST',
  url: '/seats',
  headers: { 'idempotency-key': 'k-1' },
});
const POPULAR = headFingerprint('bookings', { method: 'GET', url: '/menus', headers: {} });

/** Seconds left of the quarantine; 0 if there is none. */
function secondsLeft(quarantine: Quarantine, fingerprint: string, now: number): number {
  try {
    quarantine.check(fingerprint);
    return 0;
  } catch (error) {
    if (!(error instanceof OutcomeError)) throw error;
    expect([error.verdict, error.reason]).to.deep.equal(['not-run', 'quarantined']);
    return Math.round((error.retryAt! - now) / 1_000);
  }
}

describe('Bulletins', () => {
  const all = new Map<string, Bulletins>();

  async function fleetOf(sizes: Readonly<Record<string, number>>): Promise<TestFleet> {
    const fleet = await TestFleet.start({ sizes: {} });
    for (const [dataCentre, size] of Object.entries(sizes)) {
      for (let index = 1; index <= size; index++) {
        launch(fleet, `${dataCentre}-${index}`, dataCentre);
      }
    }
    await fleet.time.advance(8_000);
    return fleet;
  }

  function launch(fleet: TestFleet, name: string, dataCentre: string): void {
    const { control } = fleet.launch(name, dataCentre);
    all.set(name, new Bulletins(control.mesh, control.methods, fleet.clock, fleet.random));
  }

  function left(fleet: TestFleet, fingerprint: string): Record<string, number> {
    const now = fleet.clock.now();
    const entries = [...all].map(
      ([name, { quarantine }]) => [name, secondsLeft(quarantine, fingerprint, now)] as const,
    );
    return Object.fromEntries(entries);
  }

  function died(name: string, suspects: string[]): void {
    all.get(name)!.quarantine.died('bookings', suspects);
  }

  afterEach(() => all.clear());

  /*
   * A request crashes the upstream that runs it, its caller sends it again, and the next one dies
   * in another data centre. From then on every process refuses it as not run for ten minutes, and
   * so does one that has started after both deaths.
   */
  it('quarantines after two deaths on every process, also on those that start later', async () => {
    await using fleet = await fleetOf({ arima: 3, amman: 3 });
    died('arima-2', [POISON]);
    await fleet.time.advance(1_000);
    const afterOne = left(fleet, POISON);
    died('amman-3', [POISON]);
    await fleet.time.advance(1_000);
    const afterTwo = left(fleet, POISON);
    fleet.kill('arima-1');
    launch(fleet, 'arima-1', 'arima');
    await fleet.time.advance(10_000);
    const restarted = left(fleet, POISON)['arima-1'];
    expect({ afterOne, afterTwo, restarted }).toMatchSnapshot();
  });

  /*
   * A menu that everybody reads is in flight beside the poison at both deaths. Its callers would be
   * refused everywhere; but a process whose upstream lives answers it after the deaths, says so,
   * and all others let it through again. The poison stays out.
   */
  it('lets an innocent request through that was in flight beside the cause', async () => {
    await using fleet = await fleetOf({ arima: 2, amman: 2 });
    died('arima-1', [POISON, POPULAR]);
    died('amman-1', [POISON, POPULAR]);
    await fleet.time.advance(100);
    const before = left(fleet, POPULAR);
    all.get('amman-2')!.quarantine.completed(POPULAR);
    await fleet.time.advance(100);
    const after = left(fleet, POPULAR);
    expect({ before, after, poison: left(fleet, POISON) }).toMatchSnapshot();
  });

  /*
   * The data centres are cut off from each other while both deaths happen on one side. The other
   * side takes the request until the cut ends, and learns of the deaths when its links come back.
   */
  it('tells a data centre that was cut off', async () => {
    await using fleet = await fleetOf({ arima: 2, amman: 2 });
    fleet.network.cut('arima', 'amman');
    await fleet.time.advance(6_000);
    died('arima-1', [POISON]);
    died('arima-2', [POISON]);
    await fleet.time.advance(1_000);
    const during = left(fleet, POISON);
    fleet.network.heal();
    await fleet.time.advance(30_000);
    expect({ during, after: left(fleet, POISON) }).toMatchSnapshot();
  });
});

describe('Quarantine', () => {
  let time: FakeTime;
  let quarantine: Quarantine;

  beforeEach(() => {
    time = new FakeTime();
    quarantine = new Quarantine(time.clock, new SeededRandom(3), () => {});
  });

  afterEach(() => time[Symbol.dispose]());

  function left(fingerprint: string): number {
    return secondsLeft(quarantine, fingerprint, time.clock.now());
  }

  function death(id: string, suspects: string[], ageMs = 0) {
    return { deaths: [{ id, upstream: 'bookings', suspects, ageMs }], clearances: [] };
  }

  it('counts a death that is heard twice once', () => {
    expect(quarantine.merge(death('d-1', [POISON])).deaths).to.have.length(1);
    expect(quarantine.merge(death('d-1', [POISON])).deaths).to.have.length(0);
    expect(left(POISON)).to.equal(0);
  });

  it('keeps reads out for a shorter time that doubles with each death', () => {
    const lefts = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => {
      quarantine.merge(death(`d-${number}`, [POPULAR]));
      return left(POPULAR);
    });
    expect(lefts[1]).to.equal(READ_QUARANTINE_MS / 1_000);
    expect(lefts).toMatchSnapshot();
  });

  it('lets a request through again when its quarantine ends', async () => {
    quarantine.merge(death('d-1', [POISON]));
    quarantine.merge(death('d-2', [POISON]));
    await time.advance(QUARANTINE_MS - 2_000);
    expect(left(POISON)).to.equal(2);
    await time.advance(2_000);
    expect([left(POISON), quarantine.isIdle]).to.deep.equal([0, true]);
  });

  it('does not count deaths from before a good answer', async () => {
    quarantine.merge(death('d-1', [POPULAR]));
    await time.advance(10);
    quarantine.completed(POPULAR);
    await time.advance(10);
    quarantine.merge(death('d-2', [POPULAR]));
    expect(left(POPULAR)).to.equal(0);
    await time.advance(10);
    quarantine.merge(death('d-3', [POPULAR]));
    expect(left(POPULAR)).to.be.above(0);
  });

  /*
   * A rack goes down and hundreds of upstreams die with requests that have nothing in common. The
   * memory stays bounded, and a request that kills twice in the middle of it is still found.
   */
  it('stays bounded in a herd of deaths and still finds the cause', () => {
    quarantine.merge(death('first', [POISON]));
    for (let number = 0; number < 3 * MAX_BULLETIN_ITEMS; number++) {
      quarantine.merge(death(`herd-${number}`, [`w${number}`]));
    }
    quarantine.merge(death('second', [POISON]));
    expect(quarantine.bulletin().deaths).to.have.length(MAX_BULLETIN_ITEMS);
    expect(left(POISON)).to.be.above(0);
  });

  it('agrees with others whatever the order, and needs two deaths (property)', async () => {
    const event = fc.record({
      isDeath: fc.boolean(),
      suspects: fc.uniqueArray(fc.constantFrom<string>('r1', 'r2', 'w3', 'w4.b'), { minLength: 1 }),
      waitMs: fc.integer({ min: 1, max: 200_000 }),
    });
    const property = fc.asyncProperty(fc.array(event, { maxLength: 30 }), async (events) => {
      const others = [1, 2].map((seed) => new Quarantine(time.clock, new SeededRandom(seed), noop));
      const tested = new Quarantine(time.clock, new SeededRandom(9), (bulletin) => {
        for (const other of others) other.merge(other.merge(bulletin));
      });
      const since = new Map<string, number[]>();
      for (const { isDeath, suspects, waitMs } of events) {
        await time.advance(waitMs);
        const now = time.clock.now();
        if (isDeath) tested.died('bookings', suspects);
        else for (const suspect of suspects) tested.completed(suspect);
        for (const suspect of suspects) {
          const deaths = (since.get(suspect) ?? []).filter((at) => at > now - MEMORY_MS);
          since.set(suspect, isDeath ? [...deaths, now] : []);
        }
        for (const [suspect, deaths] of since) {
          const [expected, ...lefts] = [tested, ...others].map((one) =>
            secondsLeft(one, suspect, now),
          );
          expect(lefts).to.deep.equal([expected, expected]);
          const recent = deaths.filter((at) => at > now - MEMORY_MS);
          if (recent.length < 2) expect(expected).to.equal(0);
          if (recent.length >= 2 && isDeath && suspects.includes(suspect)) {
            expect(expected).to.be.above(0);
          }
        }
      }
    });
    await fc.assert(property, { seed: 5, numRuns: 40 });
  });
});

function noop(): void {}
