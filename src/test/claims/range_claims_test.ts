import { expect } from 'chai';
import { type Claim, OutcomeError } from '../../contracts.js';
import { RangeClaims } from '../../claims/range_claims.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { FakeTime } from '../fake_time.js';

const TIMEOUT_MS = 1_000;

describe('RangeClaims', () => {
  let time: FakeTime;
  let store: PlatformStore;

  beforeEach(() => {
    time = new FakeTime();
    store = new PlatformStore(time.clock);
    store.faults.slowMs = 4;
  });

  afterEach(() => time[Symbol.dispose]());

  function rangesOf(seed: number): RangeClaims {
    const options = { ranges: 1, windowMs: 3 };
    return new RangeClaims(store, time.clock, new SeededRandom(seed), options);
  }

  function claim(nonce: string, fingerprint = 'f'): Claim {
    const runBy = time.clock.now() + TIMEOUT_MS;
    return { nonce, fingerprint, holder: 'arima-1', runBy, expiresAt: runBy + TIMEOUT_MS };
  }

  /** Acquires claims concurrently; each resolves to the nonce that is stored afterwards. */
  function acquire(ranges: RangeClaims, ids: string[], writer: string): Promise<string>[] {
    const deadline = time.clock.now() + TIMEOUT_MS;
    return ids.map(async (id) => {
      const held = await ranges.acquire(id, claim(`${writer}-${id}`), deadline);
      return held.nonce;
    });
  }

  const IDS = ['00', '01', '02', '03', '04', '05'];

  it('batches the operations of one window into one write', async () => {
    const acquired = Promise.all(acquire(rangesOf(1), IDS, 'arima'));
    await time.advance(50);
    expect(await acquired).to.deep.equal(IDS.map((id) => `arima-${id}`));
    expect(store.calls.writes).to.equal(1);
  });

  /*
   * Two processes write the same range concurrently, for the same keys. The one whose write
   * conflicts has to read the page again and find the claims taken; both would run otherwise.
   */
  it('grants each claim to exactly one of two processes', async () => {
    const acquired = ['arima', 'amman'].flatMap((name, seed) => acquire(rangesOf(seed), IDS, name));
    const all = Promise.all(acquired);
    await time.advance(500);
    const nonces = await all;
    expect(nonces.slice(0, IDS.length)).to.deep.equal(nonces.slice(IDS.length));
  });

  /* A larger page could not be written at all: the caller gets not-run at its deadline. */
  it('refuses when the page is full', async () => {
    const ranges = rangesOf(1);
    const large = 'x'.repeat(460_000);
    const first = ranges.acquire('00', claim('n-1', large), time.clock.now() + TIMEOUT_MS);
    await time.advance(50);
    await first;
    const second = ranges.acquire('01', claim('n-2', large), time.clock.now() + TIMEOUT_MS);
    const refused = second.then(
      () => 'acquired',
      (error: OutcomeError) => `${error.verdict} ${error.reason}`,
    );
    await time.advance(TIMEOUT_MS + 100);
    expect(await refused).to.equal('not-run store-unavailable');
  });
});
