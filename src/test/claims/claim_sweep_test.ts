import { expect } from 'chai';
import { type Claim } from '../../contracts.js';
import { ClaimSweep } from '../../claims/claim_sweep.js';
import { CLAIM_PREFIX, claimKey } from '../../claims/single_claims.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { FakeTime } from '../fake_time.js';

const LIVE_FOR_MS = 120_000;

describe('ClaimSweep', () => {
  let time: FakeTime;
  let store: PlatformStore;
  let stopping: AbortController;

  beforeEach(async () => {
    time = new FakeTime();
    store = new PlatformStore(time.clock);
    stopping = new AbortController();
    for (let index = 0; index < 400; index++) await put(`c-${index}`, index % 4 === 0);
    await store.create(claimKey('c-1-unreadable'), 'not a claim', Infinity);
    store.calls.writes = 0;
  });

  afterEach(async () => {
    stopping.abort();
    await time.advance(1);
    time[Symbol.dispose]();
  });

  async function put(id: string, isLive: boolean): Promise<void> {
    const now = time.clock.now();
    const expiresAt = isLive ? now + LIVE_FOR_MS : now;
    const claim: Claim = { nonce: id, fingerprint: 'f', holder: 'arima-1', runBy: now, expiresAt };
    await store.create(claimKey(id), JSON.stringify(claim), Infinity);
  }

  async function count(): Promise<number> {
    return (await store.list({ prefix: CLAIM_PREFIX }, Infinity)).length;
  }

  it('removes only expired claims, at a bounded rate', async () => {
    const sweep = new ClaimSweep(store, () => true, time.clock);
    void sweep.run(stopping.signal);
    await time.advance(1_001);
    const firstSecond = store.calls.writes;
    await time.advance(10_000);
    expect(firstSecond).to.be.within(1, 150);
    expect([await count(), sweep.removed]).to.deep.equal([101, 300]);
    await time.advance(LIVE_FOR_MS);
    expect([await count(), sweep.removed]).to.deep.equal([1, 400]);
  });

  it('does nothing while another process is the sweeper', async () => {
    const sweep = new ClaimSweep(store, () => false, time.clock);
    void sweep.run(stopping.signal);
    await time.advance(10_000);
    expect([await count(), store.calls.writes]).to.deep.equal([401, 0]);
  });

  it('resumes after an outage of the store', async () => {
    const sweep = new ClaimSweep(store, () => true, time.clock);
    void sweep.run(stopping.signal);
    store.faults.down = true;
    await time.advance(5_000);
    store.faults.down = false;
    await time.advance(5_000);
    expect(sweep.removed).to.equal(300);
  });
});
