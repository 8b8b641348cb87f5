import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import fc from 'fast-check';
import { type Outcome, OutcomeError } from '../../contracts.js';
import { type Platform } from '../../platform/platform.js';
import { type ClaimStore } from '../../claims/claim_store.js';
import { ClaimSweep } from '../../claims/claim_sweep.js';
import { Claims, KEEP_MS, type KeyedRequest } from '../../claims/claims.js';
import { type HeldClaim } from '../../claims/held_claim.js';
import { RangeClaims } from '../../claims/range_claims.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { UnsteadyPlatform } from '../requests/unsteady_platform.js';

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

    /** What a caller is told, after whatever time it takes. */
    async function told(claims: Claims, asked = request()): Promise<unknown> {
      return (await settle(admit(claims, asked))).told;
    }

    async function claimed(claims: Claims, asked = request()): Promise<HeldClaim> {
      const { claim } = await settle(admit(claims, asked));
      expect(claim, 'the right to run').not.to.equal(undefined);
      return claim!;
    }

    async function settle<T>(task: Promise<T>): Promise<T> {
      let isDone = false;
      const done = () => {
        isDone = true;
      };
      task.then(done, done);
      while (!isDone) await timers.tickAsync(5);
      return task;
    }

    it('runs a request once and tells repeats in any data centre its outcome', async () => {
      const [arima, amman] = [claimsOf('arima-1'), claimsOf('amman-1')];
      const claim = await claimed(arima);
      claim.start();
      const meanwhile = [await told(arima), await told(amman)];
      claim.settle(OUTCOME);
      const fromMemory = await told(arima);
      await timers.tickAsync(1_000);
      expect(arima.outstanding).to.equal(0);
      const later = [await told(amman), await told(claimsOf('restarted'))];
      const other = await told(amman, request({ fingerprint: 'another body' }));
      expect({ meanwhile, fromMemory, later, other }).toMatchSnapshot();
    });

    /*
     * The create takes effect and its answer is lost; a repeat of the caller reaches another
     * process at the same moment. The caller sees one run and one refusal: the first process reads
     * back its own nonce and runs, the second finds a claim that is not its own.
     */
    it('settles a lost answer by its nonce while a repeat races', async () => {
      store.faults.loseAnswers = 1;
      const tasks = ['arima-1', 'amman-1'].map((name) => admit(claimsOf(name), request()));
      const [first, second] = await settle(Promise.all(tasks));
      expect([first!.told, second!.told]).to.have.members([
        'run',
        'in-progress may-have-run +1000',
      ]);
    });

    /*
     * The store is down, then too slow. The caller is refused at once or within a second with
     * not-run and when to come back, and may then run: nothing of the first tries stands.
     */
    it('refuses as not run while the store is down or slow', async () => {
      const claims = claimsOf('arima-1');
      store.faults.down = true;
      const down = await told(claims);
      store.faults.down = false;
      store.faults.slowMs = 5_000;
      const slow = await told(claims);
      store.faults.slowMs = 0;
      await timers.tickAsync(10_000);
      expect({ down, slow, after: await told(claims) }).toMatchSnapshot();
    });

    /*
     * The limit refuses a request after its claim was made. Its caller sees not-run and may come
     * back to another process; the claim was given back before the refusal, so the repeat runs.
     */
    it('gives back the claim of a request that did not run', async () => {
      const claim = await claimed(claimsOf('arima-1'));
      await settle(claim[Symbol.asyncDispose]());
      expect(await told(claimsOf('amman-1'))).to.equal('run');
    });

    /*
     * As above, but the removal is lost because the store goes down. A repeat must not take the
     * old claim up again, as the removal may still arrive: it is refused until the store is back.
     */
    it('never takes up a claim again whose release is on its way', async () => {
      const claims = claimsOf('arima-1');
      const claim = await claimed(claims);
      store.faults.down = true;
      await settle(claim[Symbol.asyncDispose]());
      const meanwhile = await told(claims);
      store.faults.down = false;
      await timers.tickAsync(30_000);
      expect({ meanwhile, after: await told(claims) }).toMatchSnapshot();
    });

    /*
     * A process is paused between its claim and the run, for longer than the claim is kept; the
     * claim expires, is swept away, and a repeat runs elsewhere. When the process wakes it must
     * not run too, or the guest pays twice: the claim's run-by has passed, so it refuses.
     */
    it('does not start after a pause that outlasted its claim', async () => {
      const paused = await claimed(claimsOf('arima-1'));
      timers.setSystemTime(clock.now() + KEEP_MS + TIMEOUT_MS + 1);
      const stopping = new AbortController();
      const sweep = new ClaimSweep(store, () => true, clock);
      void sweep.run(stopping.signal);
      await timers.tickAsync(2_000);
      stopping.abort();
      const elsewhere = await claimed(claimsOf('amman-1'));
      elsewhere.start();
      expect(() => paused.start())
        .to.throw(OutcomeError)
        .with.property('verdict', 'not-run');
    });

    /*
     * A process dies between claim and run, or after the run before its outcome was written. The
     * repeat cannot know which: it is told may-have-run and when to ask again, never run.
     */
    it('refuses for good when the holder died before an outcome was written', async () => {
      const platform = new UnsteadyPlatform(store, clock, new SeededRandom(9), STEADY);
      (await claimed(claimsOf('arima-1', platform))).start();
      platform.hasCrashed = true;
      const early = await told(claimsOf('arima-1'));
      await timers.tickAsync(TIMEOUT_MS);
      expect({ early, late: await told(claimsOf('arima-1')) }).toMatchSnapshot();
    });

    /*
     * The outcome cannot be written because the store is down for a minute. A repeat at the same
     * process is answered from memory meanwhile, elsewhere it is refused; then the write arrives.
     */
    it('writes an outcome late rather than never', async () => {
      const claims = claimsOf('arima-1');
      const claim = await claimed(claims);
      claim.start();
      store.faults.down = true;
      claim.settle(OUTCOME);
      await timers.tickAsync(60_000);
      const here = await told(claims);
      store.faults.down = false;
      await timers.tickAsync(30_000);
      expect([here, await told(claimsOf('amman-1'))]).to.deep.equal(['replay 201', 'replay 201']);
    });

    it('runs a key at most once, and not-run excludes a run (property)', async () => {
      await fc.assert(
        fc.asyncProperty(fc.array(ASK, { maxLength: 12 }), UNSTEADY, fc.nat(), checkAsks),
        { seed: 5, numRuns: 30 },
      );
    });

    /** Carries out a schedule of requests over three processes with unsteady ways to the store. */
    async function checkAsks(asks: Ask[], unsteadiness: typeof STEADY, from: number) {
      store = new PlatformStore(clock);
      seed = from;
      const runs = new Map<string, number>();
      const platforms = [1, 2, 3].map(
        (process) =>
          new UnsteadyPlatform(store, clock, new SeededRandom(from + process), unsteadiness),
      );
      const processes = platforms.map((platform, index) => claimsOf(`process-${index}`, platform));
      const carry = async ({ atMs, process, key, fate }: Ask) => {
        await clock.sleepUntil(clock.now() + atMs);
        const platform = platforms[process]!;
        if (platform.hasCrashed) return;
        const { claim, told: answer } = await admit(processes[process]!, request({ key }));
        const before = runs.get(key) ?? 0;
        if (answer.startsWith('replay')) expect(before).to.equal(1);
        if (!claim) return;
        if (fate === 'paused') await clock.sleepUntil(clock.now() + TIMEOUT_MS);
        if (fate === 'crashes before the run') platform.hasCrashed = true;
        if (platform.hasCrashed) return;
        if (fate === 'not run') await claim[Symbol.asyncDispose]();
        try {
          claim.start();
        } catch (error) {
          expect((error as OutcomeError).verdict).to.equal('not-run');
          return;
        }
        runs.set(key, (runs.get(key) ?? 0) + 1);
        await clock.sleepUntil(clock.now() + 20);
        if (fate === 'crashes after the run') platform.hasCrashed = true;
        claim.settle(OUTCOME);
      };
      await settle(Promise.all(asks.map(carry)));
      for (const count of runs.values()) expect(count).to.equal(1);
      for (const platform of platforms) platform.hasCrashed = true;
    }
  });
}

interface Ask {
  readonly atMs: number;
  readonly process: number;
  readonly key: string;
  readonly fate: string;
}

const ASK = fc.record({
  atMs: fc.integer({ min: 0, max: 4_000 }),
  process: fc.integer({ min: 0, max: 2 }),
  key: fc.constantFrom('k-1', 'k-2'),
  fate: fc.constantFrom(
    'runs',
    'runs',
    'not run',
    'paused',
    'crashes before the run',
    'crashes after the run',
  ),
});

const STEADY = { lost: 0, answerLost: 0, late: 0 };
const UNSTEADY = fc.record({
  lost: fc.double({ min: 0, max: 0.3, noNaN: true }),
  answerLost: fc.double({ min: 0, max: 0.3, noNaN: true }),
  late: fc.double({ min: 0, max: 0.3, noNaN: true }),
});

interface Told {
  readonly claim?: HeldClaim;
  readonly told: string;
}

async function admit(claims: Claims, asked: KeyedRequest): Promise<Told> {
  try {
    const admission = await claims.admit(asked);
    if (admission.kind === 'run') return { claim: admission.claim, told: 'run' };
    return { told: `replay ${admission.outcome.status}` };
  } catch (error) {
    if (!(error instanceof OutcomeError)) throw error;
    const { reason, verdict, retryAt } = error;
    const wait = retryAt === undefined ? '' : ` +${retryAt - clock.now()}`;
    return { told: `${reason} ${verdict}${wait}` };
  }
}
