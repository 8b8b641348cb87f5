import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import fc from 'fast-check';
import { type Outcome, OutcomeError } from '../../contracts.js';
import { type Platform } from '../../platform/platform.js';
import { type ClaimStore } from '../../claims/claim_store.js';
import { ClaimSweep } from '../../claims/claim_sweep.js';
import { Claims, CLAIM_RETENTION_MS, type KeyedRequest } from '../../claims/claims.js';
import { type HeldClaim } from '../../claims/held_claim.js';
import { RangeClaims } from '../../claims/range_claims.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { FaultyPlatform } from '../requests/faulty_platform.js';

const OUTCOME: Outcome = { status: 201, headers: { location: '/seats/12' }, body: 'c2VhdCAxMg==' };
const TIMEOUT_MS = 2_000;
const clock = new TimerClock();

type StoreFactory = (platform: Platform, random: SeededRandom) => ClaimStore;

const KINDS: Readonly<Record<string, StoreFactory>> = {
  SingleClaims: (platform, random) => new SingleClaims(platform, clock, random),
  RangeClaims: (platform, random) =>
    new RangeClaims(platform, clock, random, { ranges: 2, windowMs: 3 }),
};

for (const [kind, storeOf] of Object.entries(KINDS)) {
  describe(`Claims over ${kind}`, () => {
    let timers: FakeClock;
    let store: PlatformStore;
    let seed = 0;

    beforeEach(() => {
      timers = install({ now: 1_000_000 });
      store = new PlatformStore(clock);
      seed = 0;
    });

    afterEach(() => timers.uninstall());

    function claimsOf(instance: string, platform: Platform = store): Claims {
      seed += 1;
      const random = new SeededRandom(seed);
      return new Claims(storeOf(platform, random), instance, clock, random);
    }

    function request(change: Partial<KeyedRequest> = {}): KeyedRequest {
      const deadline = clock.now() + TIMEOUT_MS;
      return { route: 'seats', key: 'k-1', fingerprint: 'f-1', deadline, ...change };
    }

    /** Admits a request and resolves to its answer; advances the time until there is one. */
    async function answerTo(claims: Claims, asked = request()): Promise<unknown> {
      return (await advanceUntilDone(admit(claims, asked))).answer;
    }

    async function acquireClaim(claims: Claims, asked = request()): Promise<HeldClaim> {
      const { claim } = await advanceUntilDone(admit(claims, asked));
      expect(claim, 'the right to run').not.to.equal(undefined);
      return claim!;
    }

    async function advanceUntilDone<T>(task: Promise<T>): Promise<T> {
      let isDone = false;
      const done = () => {
        isDone = true;
      };
      task.then(done, done);
      while (!isDone) await timers.tickAsync(5);
      return task;
    }

    it('runs a request once and replays its outcome to repeats in any data centre', async () => {
      const [arima, amman] = [claimsOf('arima-1'), claimsOf('amman-1')];
      const claim = await acquireClaim(arima);
      claim.start();
      const meanwhile = [await answerTo(arima), await answerTo(amman)];
      claim.settle(OUTCOME);
      const fromMemory = await answerTo(arima);
      await timers.tickAsync(1_000);
      expect(arima.outstanding).to.equal(0);
      const later = [await answerTo(amman), await answerTo(claimsOf('restarted'))];
      const other = await answerTo(amman, request({ fingerprint: 'another body' }));
      expect({ meanwhile, fromMemory, later, other }).toMatchSnapshot();
    });

    /*
     * The create takes effect, its answer is lost, and a repeat reaches another process at the same
     * time. Without the comparison of nonces both processes would run the request, or neither.
     */
    it('resolves the lost answer to a create by its nonce while a repeat races', async () => {
      store.faults.loseAnswers = 1;
      const tasks = ['arima-1', 'amman-1'].map((name) => admit(claimsOf(name), request()));
      const [first, second] = await advanceUntilDone(Promise.all(tasks));
      expect([first!.answer, second!.answer]).to.have.members([
        'run',
        'in-progress may-have-run +1000',
      ]);
    });

    /*
     * The caller has to get not-run with a retry time within a second; nothing that an attempt left
     * behind may keep its later retry from running.
     */
    it('refuses as not run while the store is down or slow', async () => {
      const claims = claimsOf('arima-1');
      store.faults.down = true;
      const down = await answerTo(claims);
      store.faults.down = false;
      store.faults.slowMs = 5_000;
      const slow = await answerTo(claims);
      store.faults.slowMs = 0;
      await timers.tickAsync(10_000);
      expect({ down, slow, after: await answerTo(claims) }).toMatchSnapshot();
    });

    /*
     * A limit refuses a request after its claim was created. If the claim were not released before
     * the refusal, the caller's retry at another process would be refused.
     */
    it('releases the claim of a request that did not run', async () => {
      const claim = await acquireClaim(claimsOf('arima-1'));
      await advanceUntilDone(claim[Symbol.asyncDispose]());
      expect(await answerTo(claimsOf('amman-1'))).to.equal('run');
    });

    /*
     * The store goes down and the removal is lost, but may still arrive. A repeat that reused the
     * claim could lose it during its run, so it is refused until the store is back.
     */
    it('never reuses a claim whose release is pending', async () => {
      const claims = claimsOf('arima-1');
      const claim = await acquireClaim(claims);
      store.faults.down = true;
      await advanceUntilDone(claim[Symbol.asyncDispose]());
      const meanwhile = await answerTo(claims);
      store.faults.down = false;
      await timers.tickAsync(30_000);
      expect({ meanwhile, after: await answerTo(claims) }).toMatchSnapshot();
    });

    /*
     * A process is paused between claim and run until its claim has expired and a repeat has run
     * elsewhere. If it then ran the request as well, the customer would be charged twice.
     */
    it('does not start a run after a pause longer than the retention of its claim', async () => {
      const paused = await acquireClaim(claimsOf('arima-1'));
      timers.setSystemTime(clock.now() + CLAIM_RETENTION_MS + TIMEOUT_MS + 1);
      const stopping = new AbortController();
      const sweep = new ClaimSweep(store, () => true, clock);
      void sweep.run(stopping.signal);
      await timers.tickAsync(2_000);
      stopping.abort();
      const elsewhere = await acquireClaim(claimsOf('amman-1'));
      elsewhere.start();
      expect(() => paused.start())
        .to.throw(OutcomeError)
        .with.property('verdict', 'not-run');
    });

    /*
     * A process dies after its claim and before the outcome was written. Whether the request ran is
     * unknown, so a repeat gets may-have-run with a retry time and must never run.
     */
    it('refuses every repeat if the holder died before an outcome was written', async () => {
      const platform = new FaultyPlatform(store, clock, new SeededRandom(9), NO_FAULTS);
      (await acquireClaim(claimsOf('arima-1', platform))).start();
      platform.hasCrashed = true;
      const early = await answerTo(claimsOf('arima-1'));
      await timers.tickAsync(TIMEOUT_MS);
      expect({ early, late: await answerTo(claimsOf('arima-1')) }).toMatchSnapshot();
    });

    /*
     * The store is down for a minute when an outcome is to be written. Without retries, and answers
     * from memory until then, the outcome would be lost to repeats.
     */
    it('retries writing an outcome until the store is back', async () => {
      const claims = claimsOf('arima-1');
      const claim = await acquireClaim(claims);
      claim.start();
      store.faults.down = true;
      claim.settle(OUTCOME);
      await timers.tickAsync(60_000);
      const here = await answerTo(claims);
      store.faults.down = false;
      await timers.tickAsync(30_000);
      expect([here, await answerTo(claimsOf('amman-1'))]).to.deep.equal([
        'replay 201',
        'replay 201',
      ]);
    });

    it('runs a key at most once, and not-run excludes a run (property)', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(PLANNED_REQUEST, { maxLength: 12 }),
          FAULT_RATES,
          fc.nat(),
          checkSchedule,
        ),
        { seed: 5, numRuns: 30 },
      );
    });

    /** Runs a schedule of requests over three processes whose calls to the store are unreliable. */
    async function checkSchedule(
      schedule: PlannedRequest[],
      faultRates: typeof NO_FAULTS,
      from: number,
    ) {
      store = new PlatformStore(clock);
      seed = from;
      const runs = new Map<string, number>();
      const platforms = [1, 2, 3].map(
        (process) => new FaultyPlatform(store, clock, new SeededRandom(from + process), faultRates),
      );
      const processes = platforms.map((platform, index) => claimsOf(`process-${index}`, platform));
      const perform = async ({ atMs, process, key, behaviour }: PlannedRequest) => {
        await clock.sleepUntil(clock.now() + atMs);
        const platform = platforms[process]!;
        if (platform.hasCrashed) return;
        const { claim, answer } = await admit(processes[process]!, request({ key }));
        const before = runs.get(key) ?? 0;
        if (answer.startsWith('replay')) expect(before).to.equal(1);
        if (!claim) return;
        if (behaviour === 'paused') await clock.sleepUntil(clock.now() + TIMEOUT_MS);
        if (behaviour === 'crashes before the run') platform.hasCrashed = true;
        if (platform.hasCrashed) return;
        if (behaviour === 'not run') await claim[Symbol.asyncDispose]();
        try {
          claim.start();
        } catch (error) {
          expect((error as OutcomeError).verdict).to.equal('not-run');
          return;
        }
        runs.set(key, (runs.get(key) ?? 0) + 1);
        await clock.sleepUntil(clock.now() + 20);
        if (behaviour === 'crashes after the run') platform.hasCrashed = true;
        claim.settle(OUTCOME);
      };
      await advanceUntilDone(Promise.all(schedule.map(perform)));
      for (const count of runs.values()) expect(count).to.equal(1);
      for (const platform of platforms) platform.hasCrashed = true;
    }
  });
}

interface PlannedRequest {
  readonly atMs: number;
  readonly process: number;
  readonly key: string;
  readonly behaviour: string;
}

const PLANNED_REQUEST = fc.record({
  atMs: fc.integer({ min: 0, max: 4_000 }),
  process: fc.integer({ min: 0, max: 2 }),
  key: fc.constantFrom('k-1', 'k-2'),
  behaviour: fc.constantFrom(
    'runs',
    'runs',
    'not run',
    'paused',
    'crashes before the run',
    'crashes after the run',
  ),
});

const NO_FAULTS = { lost: 0, answerLost: 0, late: 0 };
const FAULT_RATES = fc.record({
  lost: fc.double({ min: 0, max: 0.3, noNaN: true }),
  answerLost: fc.double({ min: 0, max: 0.3, noNaN: true }),
  late: fc.double({ min: 0, max: 0.3, noNaN: true }),
});

interface AdmitResult {
  readonly claim?: HeldClaim;
  readonly answer: string;
}

async function admit(claims: Claims, asked: KeyedRequest): Promise<AdmitResult> {
  try {
    const admission = await claims.admit(asked);
    if (admission.kind === 'run') return { claim: admission.claim, answer: 'run' };
    return { answer: `replay ${admission.outcome.status}` };
  } catch (error) {
    if (!(error instanceof OutcomeError)) throw error;
    const { reason, verdict, retryAt } = error;
    const wait = retryAt === undefined ? '' : ` +${retryAt - clock.now()}`;
    return { answer: `${reason} ${verdict}${wait}` };
  }
}
