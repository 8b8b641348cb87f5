import FakeTimers, { type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { Limit as LimitResource, type OutcomeError } from '../../contracts.js';
import { ConcurrencyLimiter, type JobResult } from '../../admission/concurrency_limiter.js';
import { TimerClock } from '../../runtime/clock.js';

const ANSWERED: JobResult = { headMs: 10, isShed: false };
const answeredIn = (headMs: number): JobResult => ({ headMs, isShed: false });
const SHED: JobResult = { headMs: 1, isShed: true };

describe('ConcurrencyLimiter', () => {
  let timers: FakeClock;
  let clock: TimerClock;
  let limit: ConcurrencyLimiter;
  let started: string[];
  let maxInFlight: number;

  beforeEach(() => {
    timers = FakeTimers.install({ now: 1_000_000 });
    clock = new TimerClock();
    limit = new ConcurrencyLimiter(clock, 20);
    started = [];
    maxInFlight = 0;
  });

  afterEach(() => timers.uninstall());

  interface TestJob {
    readonly name: string;
    readonly takesMs?: number;
    readonly priority?: number;
    readonly team?: string;
    readonly withinMs?: number;
    readonly targetMs?: number;
    readonly outcome?: JobResult | (() => JobResult);
    readonly resource?: LimitResource;
    readonly onGone?: (callback: () => void) => void;
  }

  /** Resolves to 'done', or to the verdict and reason of the refusal. */
  function run(job: TestJob): Promise<string> {
    const { name, takesMs = 10, outcome = ANSWERED, withinMs = 1_000, onGone = () => {} } = job;
    const limiterJob = {
      priority: job.priority ?? 5,
      team: job.team,
      deadline: clock.now() + withinMs,
      ...(job.targetMs !== undefined && { targetAt: clock.now() + job.targetMs }),
      limit: job.resource,
      onGone,
    };
    const work = async () => {
      started.push(name);
      maxInFlight = Math.max(maxInFlight, limit.inFlight);
      await clock.sleepUntil(clock.now() + takesMs);
      return typeof outcome === 'function' ? outcome() : outcome;
    };
    return limit.run(limiterJob, work).then(
      () => 'done',
      ({ verdict, reason }: OutcomeError) => `${verdict} ${reason}`,
    );
  }

  const batch = (count: number, job: Omit<TestJob, 'name'> = {}) =>
    Array.from({ length: count }, (_, index) => run({ name: String(index), ...job }));

  async function countOutcomes(runs: Promise<string>[]): Promise<Record<string, number>> {
    await timers.runAllAsync();
    const counts: Record<string, number> = {};
    for (const outcome of await Promise.all(runs)) counts[outcome] = (counts[outcome] ?? 0) + 1;
    return counts;
  }

  it('begins with few slots and grows to the announced ones', async () => {
    const slots = [limit.load.slots];
    for (let round = 0; round < 5; round++) {
      await countOutcomes(batch(40));
      slots.push(limit.load.slots);
    }
    expect(slots).toMatchSnapshot();
    expect(maxInFlight).to.equal(20);
  });

  // Guards against an instance that announces more slots than it can handle and sheds the excess
  // forever: the slots must shrink, once per round of answers.
  it('shrinks its slots when the instance sheds requests, and recovers', async () => {
    for (let round = 0; round < 5; round++) await countOutcomes(batch(40));
    await countOutcomes(batch(40, { outcome: SHED }));
    const after = limit.load.slots;
    for (let round = 0; round < 20; round++) await countOutcomes(batch(40));
    expect([after, limit.load.slots]).toMatchSnapshot();
  });

  it('resets to few slots after a cold start', async () => {
    for (let round = 0; round < 5; round++) await countOutcomes(batch(40));
    limit.restart();
    expect(limit.load.slots).to.equal(4);
  });

  // Guards against callers that wait for a job that cannot be done in time: refused before it runs,
  // they can go elsewhere. The other jobs are done.
  it('refuses at once a job that could not be done by its deadline', async () => {
    await countOutcomes(batch(4, { takesMs: 100 }));
    const runs = batch(20, { takesMs: 100, withinMs: 350 });
    let refused = 0;
    runs.forEach((outcome) => {
      void outcome.then((text) => {
        refused += Number(text !== 'done');
      });
    });
    await timers.tickAsync(0);
    expect(refused).to.be.greaterThan(0);
    expect(await countOutcomes(runs)).to.deep.equal({
      done: 20 - refused,
      'not-run overloaded': refused,
    });
    expect(started).to.have.length(4 + 20 - refused);
  });

  it('starts jobs of higher priority first', async () => {
    const runs = [
      ...batch(4),
      run({ name: 'low', priority: 1 }),
      run({ name: 'high', priority: 9 }),
    ];
    await countOutcomes(runs);
    expect(started.slice(-2)).to.deep.equal(['high', 'low']);
  });

  it('removes a waiting job whose caller disconnects', async () => {
    let leave = () => {};
    const onGone = (callback: () => void) => {
      leave = callback;
    };
    const runs = [...batch(4), run({ name: 'gone', onGone })];
    expect(limit.waiting).to.equal(1);
    leave();
    expect(await countOutcomes(runs)).to.deep.equal({ done: 4, 'not-run cancelled': 1 });
    expect(started).not.to.include('gone');
    expect(limit.load).to.include({ inFlight: 0, waiting: 0 });
  });

  // Guards against work for a caller that disconnected before its job began to wait: `onGone`
  // calls back only once, and then during the registration.
  it('removes a job at once whose caller has already disconnected', async () => {
    const onGone = (callback: () => void) => callback();
    const runs = [...batch(4), run({ name: 'gone', onGone })];
    expect(await countOutcomes(runs)).to.deep.equal({ done: 4, 'not-run cancelled': 1 });
    expect(started).not.to.include('gone');
    expect(limit.load).to.include({ inFlight: 0, waiting: 0 });
  });

  // Guards against a slot that is freed when the caller disconnects while the instance still works
  // on the request: the instance would get more requests than it can handle.
  it('keeps the slot of a running job after its caller disconnects', async () => {
    const leave: (() => void)[] = [];
    const runs = [...batch(4), ...batch(4, { onGone: (callback) => leave.push(callback) })];
    await timers.tickAsync(10);
    leave.forEach((callback) => callback());
    expect(limit.inFlight).to.equal(4);
    expect(await countOutcomes(runs)).to.deep.equal({ done: 8 });
  });

  it('enforces a named limit that is lower than the slots of the instance', async () => {
    const resource = LimitResource.parse({ kind: 'limit', name: 'narrow', slots: 1, queue: 2 });
    const outcomes = await countOutcomes(batch(4, { resource }));
    expect(outcomes).to.deep.equal({ done: 3, 'not-run overloaded': 1 });
    expect(maxInFlight).to.equal(1);
  });

  // Guards against all answers being late at twice the capacity, as they would be in order of
  // arrival: slots are used for jobs that are in time, and the other callers are refused early.
  it('serves as many jobs in time as there are slots for under overload', async () => {
    for (let round = 0; round < 5; round++) await countOutcomes(batch(40));
    await countOutcomes(batch(20, { takesMs: 200 }));
    await countOutcomes(batch(20, { takesMs: 200 }));
    const answers: { took: number; outcome: string }[] = [];
    const ask = async (name: string) => {
      const startedAt = clock.now();
      const outcome = await run({ name, takesMs: 200, targetMs: 600, withinMs: 1_200 });
      answers.push({ took: clock.now() - startedAt, outcome });
    };
    for (let request = 0; request < 600; request++) {
      void ask(String(request));
      await timers.tickAsync(5);
    }
    await timers.runAllAsync();
    const done = answers.filter(({ outcome }) => outcome === 'done');
    const inTime = done.filter(({ took }) => took <= 600).length;
    const refused = answers.filter(({ outcome }) => outcome === 'not-run overloaded');
    const heldBack = refused.filter(({ took }) => took > 75).length;
    expect([answers.length, done.length + refused.length]).to.deep.equal([600, 600]);
    expect(inTime).to.be.greaterThan(280);
    expect(heldBack).to.be.lessThan(60);
  });

  // Guards against a faulty instance that refuses half of all requests with most slots free: fewer
  // slots would only delay or refuse the half that it accepts.
  it('keeps its slots when an instance refuses with slots free', async () => {
    for (let round = 0; round < 5; round++) await countOutcomes(batch(40));
    for (let round = 0; round < 20; round++) await countOutcomes(batch(4, { outcome: SHED }));
    expect(limit.load.slots).to.equal(20);
  });

  // Guards against slots that stay low for a faulty instance that refuses whatever it gets: fewer
  // slots do not help there.
  it('keeps at least half of the slots, and reverts a decrease that was ineffective', async () => {
    for (let round = 0; round < 5; round++) await countOutcomes(batch(40));
    const slots = new Set<number>();
    for (let round = 0; round < 40; round++) {
      await countOutcomes(batch(20, { outcome: SHED }));
      slots.add(limit.load.slots);
    }
    expect(Math.min(...slots)).to.be.at.least(10);
    expect(Math.min(...slots)).to.be.lessThan(20);
    expect(limit.load.slots).to.equal(20);
  });

  it('gives an instance that is known to be warm all its announced slots at once', () => {
    limit.restart(true);
    expect(limit.load.slots).to.equal(20);
  });

  // Guards against an instance in need that gets more requests than it says it can take.
  it('starts no more jobs per second than the rate limit allows, and all once it is withdrawn', async () => {
    limit.restart(true);
    limit.recordRateLimit(10, 0);
    const runs = batch(15, { withinMs: 5_000 });
    await timers.tickAsync(1_000);
    const before = started.length;
    limit.recordRateLimit(Infinity, clock.now() + 1);
    await timers.tickAsync(0);
    expect([before, started.length]).to.deep.equal([10, 15]);
    expect(await countOutcomes(runs)).to.deep.equal({ done: 15 });
  });

  // Guards against callers that wait for a job that the rate limit cannot let start in time.
  it('refuses at once what the rate limit cannot let start in time', async () => {
    limit.restart(true);
    limit.recordRateLimit(10, 0);
    const runs = batch(15, { withinMs: 520 });
    const ended: string[] = [];
    runs.forEach((outcome) => {
      void outcome.then((text) => ended.push(text));
    });
    await timers.tickAsync(0);
    expect(ended).to.deep.equal(Array(10).fill('not-run overloaded'));
    expect(await countOutcomes(runs)).to.deep.equal({ done: 5, 'not-run overloaded': 10 });
  });

  it('forgets the rate limit of a former run', async () => {
    limit.restart(true);
    limit.recordRateLimit(1, 0);
    limit.forgetRateLimit();
    const runs = batch(15);
    await timers.tickAsync(0);
    expect(started).to.have.length(15);
    await countOutcomes(runs);
  });

  // Guards against a busy loop: a job that waits for a named limit is not in the waiting queue when
  // its target passes, and must be marked late all the same, or its timer fires again at once.
  it('marks a job as late that still waits for a named limit', async () => {
    const resource = LimitResource.parse({ kind: 'limit', name: 'narrow', slots: 1, queue: 2 });
    const first = run({ name: 'first', resource, takesMs: 600 });
    await timers.tickAsync(1);
    const second = run({ name: 'second', resource, targetMs: 100, withinMs: 2_000 });
    await timers.tickAsync(110);
    expect(timers.countTimers()).to.equal(2);
    expect(await countOutcomes([first, second])).to.deep.equal({
      done: 1,
      'not-run overloaded': 1,
    });
  });

  // Guards against late jobs taking slots from jobs in time: while one in time waits, a late one is
  // refused at once. A second after the last of those, it may wait.
  it('lets late jobs wait only while no job in time has to', async () => {
    await countOutcomes(batch(4, { takesMs: 100 }));
    const held = batch(8, { takesMs: 100 });
    await timers.tickAsync(0);
    const fresh = run({ name: 'fresh', takesMs: 100, targetMs: 900, withinMs: 2_000 });
    const late = run({ name: 'late', targetMs: -300, withinMs: 1_500 });
    expect(await Promise.race([late, timers.tickAsync(0).then(() => 'waits')])).to.equal(
      'not-run overloaded',
    );
    await timers.tickAsync(1_100);
    const others = batch(8, { takesMs: 100 });
    await timers.tickAsync(0);
    const again = run({ name: 'again', targetMs: -1_400, withinMs: 1_500 });
    expect(await countOutcomes([...held, fresh, ...others, again])).to.deep.equal({ done: 18 });
  });

  // Guards against callers that wait for a job that a slow machine cannot do in time, and against
  // refusals after the slow phase by averages that were measured in it.
  it('refuses sooner while the machine is slow, and as before afterwards', async () => {
    limit.restart(true);
    await countOutcomes(batch(20, { takesMs: 100 }));
    /** Refusals of jobs that wait for others, which take `takesMs` while that factor is stated. */
    const refusedOf = async (takesMs: number, factor: number) => {
      limit.slowness.record(factor);
      const running = batch(20, { takesMs });
      const waiting = batch(20, { takesMs, withinMs: 240 });
      for (let ms = 0; ms < 2 * takesMs; ms += 50) {
        await timers.tickAsync(50);
        limit.slowness.record(factor);
      }
      return (await countOutcomes([...running, ...waiting]))['not-run overloaded'] ?? 0;
    };
    const refused = [await refusedOf(100, 1), await refusedOf(250, 2.5), await refusedOf(100, 1)];
    expect(refused[0]).to.equal(0);
    expect(refused[1]).to.be.greaterThan(0);
    expect(refused[2]).to.equal(0);
  });

  // Guards against slots lost to a slow phase, in which the instance does not queue what it gets.
  it('keeps its slots in a slow phase that answers are normalized by', async () => {
    /** The fewest slots in a slow phase. */
    const fewestSlots = async (states: boolean) => {
      limit = new ConcurrencyLimiter(clock, 20);
      limit.restart(true);
      for (let round = 0; round < 10; round++)
        await countOutcomes(batch(40, { takesMs: 50, outcome: answeredIn(50) }));
      const slots: number[] = [];
      const outcome = () => {
        if (states) limit.slowness.record(5);
        slots.push(limit.load.slots);
        return answeredIn(250);
      };
      for (let round = 0; round < 3; round++)
        await countOutcomes(batch(40, { takesMs: 250, outcome }));
      return Math.min(...slots);
    };
    expect(await fewestSlots(false)).to.be.lessThan(20);
    expect(await fewestSlots(true)).to.equal(20);
  });

  // Guards against jobs started at an instance that drains; the refusal lets the callers go elsewhere.
  // Guards against a team that fills the queue first and thereby keeps all others out.
  it('refuses a waiting job of the team that has most in place of one that has less', async () => {
    const heavy = batch(4 + 100, { team: 'heavy', takesMs: 1 });
    const light = [...batch(3, { team: 'light', takesMs: 1 })];
    const more = run({ name: 'more', team: 'heavy', takesMs: 1 });
    expect(await countOutcomes(light)).to.deep.equal({ done: 3 });
    expect(await countOutcomes(heavy)).to.deep.equal({ done: 101, 'not-run overloaded': 3 });
    expect(await more).to.equal('not-run overloaded');
  });

  // Guards against a team that waits behind all the jobs another one has sent before.
  it('starts the jobs of two teams in turn, however many each has sent', async () => {
    const heavy = ['1', '2', '3', '4', '5', '6', '7', '8'].map((name) => `heavy ${name}`);
    const runs = heavy.map((name) => run({ name, team: 'heavy' }));
    runs.push(run({ name: 'light 1', team: 'light', withinMs: 2_000 }));
    runs.push(run({ name: 'light 2', team: 'light', withinMs: 2_000 }));
    runs.push(run({ name: 'without a team', withinMs: 2_000 }));
    expect(await countOutcomes(runs)).to.deep.equal({ done: 11 });
    expect(started).toMatchSnapshot();
  });

  // Guards against a team that occupies a named limit, whose line would be in the order of arrival.
  it('shares a named limit between teams, too', async () => {
    const resource = LimitResource.parse({ kind: 'limit', name: 'few', slots: 1, queue: 5 });
    const heavy = Array.from({ length: 6 }, (_, index) =>
      run({ name: `heavy ${index}`, team: 'heavy', resource }),
    );
    const light = run({ name: 'light', team: 'light', resource });
    expect(await countOutcomes([light])).to.deep.equal({ done: 1 });
    expect(started.slice(0, 2)).to.deep.equal(['heavy 0', 'light']);
    expect(await countOutcomes(heavy)).to.deep.equal({ done: 5, 'not-run overloaded': 1 });
  });

  it('starts no waiting job once the instance drains', async () => {
    const runs = batch(10);
    limit.isDraining = true;
    expect(await countOutcomes(runs)).to.deep.equal({ done: 4, 'not-run draining': 6 });
  });
});
