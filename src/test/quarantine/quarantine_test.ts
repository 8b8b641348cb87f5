import { expect } from 'chai';
import fc from 'fast-check';
import { MAX_BULLETIN_ITEMS, OutcomeError } from '../../contracts.js';
import { BulletinBroadcaster } from '../../quarantine/bulletin_broadcaster.js';
import {
  DEATH_RETENTION_MS,
  Quarantine,
  MAX_QUARANTINE_MS,
  MIN_READ_QUARANTINE_MS,
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

/** Remaining seconds of the quarantine; 0 if there is none. */
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

describe('BulletinBroadcaster', () => {
  const broadcasters = new Map<string, BulletinBroadcaster>();

  async function startFleet(sizes: Readonly<Record<string, number>>): Promise<TestFleet> {
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
    broadcasters.set(
      name,
      new BulletinBroadcaster(control.mesh, control.methods, fleet.clock, fleet.random),
    );
  }

  function remainingSeconds(fleet: TestFleet, fingerprint: string): Record<string, number> {
    const now = fleet.clock.now();
    const entries = [...broadcasters].map(
      ([name, { quarantine }]) => [name, secondsLeft(quarantine, fingerprint, now)] as const,
    );
    return Object.fromEntries(entries);
  }

  function recordDeath(name: string, suspects: string[]): void {
    broadcasters.get(name)!.quarantine.recordDeath('bookings', suspects);
  }

  afterEach(() => broadcasters.clear());

  // Guards against a request that crashes upstreams in several data centres: after two deaths every
  // process refuses it for ten minutes, also one that starts later.
  it('quarantines after two deaths on every process, also on those that start later', async () => {
    await using fleet = await startFleet({ arima: 3, amman: 3 });
    recordDeath('arima-2', [POISON]);
    await fleet.time.advance(1_000);
    const afterOne = remainingSeconds(fleet, POISON);
    recordDeath('amman-3', [POISON]);
    await fleet.time.advance(1_000);
    const afterTwo = remainingSeconds(fleet, POISON);
    fleet.kill('arima-1');
    launch(fleet, 'arima-1', 'arima');
    await fleet.time.advance(10_000);
    const restarted = remainingSeconds(fleet, POISON)['arima-1'];
    expect({ afterOne, afterTwo, restarted }).toMatchSnapshot();
  });

  // Guards against refusing a popular read that was in flight beside the cause at both deaths: a
  // success elsewhere clears it on all processes, and the cause stays quarantined.
  it('clears an innocent request that was in flight beside the cause', async () => {
    await using fleet = await startFleet({ arima: 2, amman: 2 });
    recordDeath('arima-1', [POISON, POPULAR]);
    recordDeath('amman-1', [POISON, POPULAR]);
    await fleet.time.advance(100);
    const before = remainingSeconds(fleet, POPULAR);
    broadcasters.get('amman-2')!.quarantine.recordSuccess(POPULAR);
    await fleet.time.advance(100);
    const after = remainingSeconds(fleet, POPULAR);
    expect({ before, after, poison: remainingSeconds(fleet, POISON) }).toMatchSnapshot();
  });

  // Guards against a data centre that misses deaths during a network partition: it must learn of them
  // when its links are restored.
  it('informs a data centre that was partitioned off once it reconnects', async () => {
    await using fleet = await startFleet({ arima: 2, amman: 2 });
    fleet.network.cut('arima', 'amman');
    await fleet.time.advance(6_000);
    recordDeath('arima-1', [POISON]);
    recordDeath('arima-2', [POISON]);
    await fleet.time.advance(1_000);
    const during = remainingSeconds(fleet, POISON);
    fleet.network.heal();
    await fleet.time.advance(30_000);
    expect({ during, after: remainingSeconds(fleet, POISON) }).toMatchSnapshot();
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

  function remainingSeconds(fingerprint: string): number {
    return secondsLeft(quarantine, fingerprint, time.clock.now());
  }

  function death(id: string, suspects: string[], ageMs = 0) {
    return { deaths: [{ id, upstream: 'bookings', suspects, ageMs }], clearances: [] };
  }

  it('counts a death once that is received twice', () => {
    expect(quarantine.merge(death('d-1', [POISON])).deaths).to.have.length(1);
    expect(quarantine.merge(death('d-1', [POISON])).deaths).to.have.length(0);
    expect(remainingSeconds(POISON)).to.equal(0);
  });

  it('quarantines reads for a shorter time that doubles with each death', () => {
    const lefts = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => {
      quarantine.merge(death(`d-${number}`, [POPULAR]));
      return remainingSeconds(POPULAR);
    });
    expect(lefts[1]).to.equal(MIN_READ_QUARANTINE_MS / 1_000);
    expect(lefts).toMatchSnapshot();
  });

  it('lets a request through again when its quarantine ends', async () => {
    quarantine.merge(death('d-1', [POISON]));
    quarantine.merge(death('d-2', [POISON]));
    await time.advance(MAX_QUARANTINE_MS - 2_000);
    expect(remainingSeconds(POISON)).to.equal(2);
    await time.advance(2_000);
    expect([remainingSeconds(POISON), quarantine.isIdle]).to.deep.equal([0, true]);
  });

  it('does not count deaths before a success', async () => {
    quarantine.merge(death('d-1', [POPULAR]));
    await time.advance(10);
    quarantine.recordSuccess(POPULAR);
    await time.advance(10);
    quarantine.merge(death('d-2', [POPULAR]));
    expect(remainingSeconds(POPULAR)).to.equal(0);
    await time.advance(10);
    quarantine.merge(death('d-3', [POPULAR]));
    expect(remainingSeconds(POPULAR)).to.be.above(0);
  });

  // Guards against unbounded memory when hundreds of upstreams die with unrelated requests, and against
  // missing a request that causes two of those deaths.
  it('stays bounded when many instances die at once, and still finds the cause', () => {
    quarantine.merge(death('first', [POISON]));
    for (let number = 0; number < 3 * MAX_BULLETIN_ITEMS; number++) {
      quarantine.merge(death(`herd-${number}`, [`w${number}`]));
    }
    quarantine.merge(death('second', [POISON]));
    expect(quarantine.snapshot().deaths).to.have.length(MAX_BULLETIN_ITEMS);
    expect(remainingSeconds(POISON)).to.be.above(0);
  });

  it('derives the same quarantines on all processes, after two deaths at least (property)', async () => {
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
        if (isDeath) tested.recordDeath('bookings', suspects);
        else for (const suspect of suspects) tested.recordSuccess(suspect);
        for (const suspect of suspects) {
          const deaths = (since.get(suspect) ?? []).filter((at) => at > now - DEATH_RETENTION_MS);
          since.set(suspect, isDeath ? [...deaths, now] : []);
        }
        for (const [suspect, deaths] of since) {
          const [expected, ...lefts] = [tested, ...others].map((one) =>
            secondsLeft(one, suspect, now),
          );
          expect(lefts).to.deep.equal([expected, expected]);
          const recent = deaths.filter((at) => at > now - DEATH_RETENTION_MS);
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
