import FakeTimers, { type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { Limit as LimitResource, type OutcomeError } from '../../contracts.js';
import { Limit, type Outcome } from '../../admission/limit.js';
import { TimerClock } from '../../runtime/clock.js';

const ANSWERED: Outcome = { headMs: 10, isShed: false };
const SHED: Outcome = { headMs: 1, isShed: true };

describe('Limit', () => {
  let timers: FakeClock;
  let clock: TimerClock;
  let limit: Limit;
  let begun: string[];
  let most: number;

  beforeEach(() => {
    timers = FakeTimers.install({ now: 1_000_000 });
    clock = new TimerClock();
    limit = new Limit(clock, 20);
    begun = [];
    most = 0;
  });

  afterEach(() => timers.uninstall());

  interface Job {
    readonly name: string;
    readonly takesMs?: number;
    readonly priority?: number;
    readonly withinMs?: number;
    readonly targetMs?: number;
    readonly outcome?: Outcome;
    readonly resource?: LimitResource;
    readonly onGone?: (callback: () => void) => void;
  }

  /** Resolves to how it went. */
  function run(job: Job): Promise<string> {
    const { name, takesMs = 10, outcome = ANSWERED, withinMs = 1_000, onGone = () => {} } = job;
    const ticket = {
      priority: job.priority ?? 5,
      deadline: clock.now() + withinMs,
      ...(job.targetMs !== undefined && { targetAt: clock.now() + job.targetMs }),
      limit: job.resource,
      onGone,
    };
    const work = async () => {
      begun.push(name);
      most = Math.max(most, limit.inFlight);
      await clock.sleepUntil(clock.now() + takesMs);
      return outcome;
    };
    return limit.run(ticket, work).then(
      () => 'done',
      ({ verdict, reason }: OutcomeError) => `${verdict} ${reason}`,
    );
  }

  const batch = (count: number, job: Omit<Job, 'name'> = {}) =>
    Array.from({ length: count }, (_, index) => run({ name: String(index), ...job }));

  async function settled(runs: Promise<string>[]): Promise<Record<string, number>> {
    await timers.runAllAsync();
    const counts: Record<string, number> = {};
    for (const outcome of await Promise.all(runs)) counts[outcome] = (counts[outcome] ?? 0) + 1;
    return counts;
  }

  it('starts slowly and grows to the announced slots', async () => {
    const slots = [limit.load.slots];
    for (let round = 0; round < 5; round++) {
      await settled(batch(40));
      slots.push(limit.load.slots);
    }
    expect(slots).toMatchSnapshot();
    expect(most).to.equal(20);
  });

  // The instance announces 20 slots and bears fewer: it sheds what is beyond. Were the limit to
  // stay, the rest would be shed for good; it steps down instead, once for each round.
  it('steps down when the instance sheds work, and recovers', async () => {
    for (let round = 0; round < 5; round++) await settled(batch(40));
    await settled(batch(40, { outcome: SHED }));
    const after = limit.load.slots;
    for (let round = 0; round < 20; round++) await settled(batch(40));
    expect([after, limit.load.slots]).toMatchSnapshot();
  });

  it('begins anew after a cold start', async () => {
    for (let round = 0; round < 5; round++) await settled(batch(40));
    limit.restart();
    expect(limit.load.slots).to.equal(4);
  });

  // More waits than can be done in time. What would come too late is refused at once, before it
  // runs, so that its caller can go elsewhere; the rest is done.
  it('refuses at once what could not be done by its deadline', async () => {
    await settled(batch(4, { takesMs: 100 }));
    const runs = batch(20, { takesMs: 100, withinMs: 350 });
    let refused = 0;
    runs.forEach((outcome) => {
      void outcome.then((text) => {
        refused += Number(text !== 'done');
      });
    });
    await timers.tickAsync(0);
    expect(refused).to.be.greaterThan(0);
    expect(await settled(runs)).to.deep.equal({
      done: 20 - refused,
      'not-run overloaded': refused,
    });
    expect(begun).to.have.length(4 + 20 - refused);
  });

  it('lets the higher priority go first', async () => {
    const runs = [
      ...batch(4),
      run({ name: 'low', priority: 1 }),
      run({ name: 'high', priority: 9 }),
    ];
    await settled(runs);
    expect(begun.slice(-2)).to.deep.equal(['high', 'low']);
  });

  it('takes out what nobody waits for any more', async () => {
    let leave = () => {};
    const onGone = (callback: () => void) => {
      leave = callback;
    };
    const runs = [...batch(4), run({ name: 'gone', onGone })];
    expect(limit.waiting).to.equal(1);
    leave();
    expect(await settled(runs)).to.deep.equal({ done: 4, 'not-run cancelled': 1 });
    expect(begun).not.to.include('gone');
    expect(limit.load).to.include({ inFlight: 0, waiting: 0 });
  });

  // Guards against work for a caller who had left before its request came to wait: it says so once.
  it('takes out at once what nobody waits for already', async () => {
    const onGone = (callback: () => void) => callback();
    const runs = [...batch(4), run({ name: 'gone', onGone })];
    expect(await settled(runs)).to.deep.equal({ done: 4, 'not-run cancelled': 1 });
    expect(begun).not.to.include('gone');
    expect(limit.load).to.include({ inFlight: 0, waiting: 0 });
  });

  // The caller goes away while its request runs. Its slot is taken until the instance is done:
  // freed before, it would let the instance be given more than it bears.
  it('keeps the slot of what runs on without its caller', async () => {
    const leave: (() => void)[] = [];
    const runs = [...batch(4), ...batch(4, { onGone: (callback) => leave.push(callback) })];
    await timers.tickAsync(10);
    leave.forEach((callback) => callback());
    expect(limit.inFlight).to.equal(4);
    expect(await settled(runs)).to.deep.equal({ done: 8 });
  });

  it('holds a named limit that is narrower than the instance', async () => {
    const resource = LimitResource.parse({ kind: 'limit', name: 'narrow', slots: 1, queue: 2 });
    const outcomes = await settled(batch(4, { resource }));
    expect(outcomes).to.deep.equal({ done: 3, 'not-run overloaded': 1 });
    expect(most).to.equal(1);
  });

  // Twice as much comes as the instance can do, for some seconds. In order of arrival everybody
  // would wait as long as the deadline lets them, and be late. As it is, as many as there are slots
  // for are answered within their target, and the others are told at once to come back.
  it('serves in time as many as it can when more comes than it can do', async () => {
    for (let round = 0; round < 5; round++) await settled(batch(40));
    await settled(batch(20, { takesMs: 200 }));
    await settled(batch(20, { takesMs: 200 }));
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

  // A grey instance refuses half of all requests with most of its slots free. Were the slots
  // shrunk for that, the half that it does take would wait, or be turned away, for nothing.
  it('keeps its slots when an instance refuses with slots free', async () => {
    for (let round = 0; round < 5; round++) await settled(batch(40));
    for (let round = 0; round < 20; round++) await settled(batch(4, { outcome: SHED }));
    expect(limit.load.slots).to.equal(20);
  });

  // An instance that is out of order refuses whatever it gets. Fewer slots do not help: the step
  // down is taken back, and at no time is less than half of its slots used.
  it('never goes below half of the slots, and takes back a step that was of no use', async () => {
    for (let round = 0; round < 5; round++) await settled(batch(40));
    const slots = new Set<number>();
    for (let round = 0; round < 40; round++) {
      await settled(batch(20, { outcome: SHED }));
      slots.add(limit.load.slots);
    }
    expect(Math.min(...slots)).to.be.at.least(10);
    expect(Math.min(...slots)).to.be.lessThan(20);
    expect(limit.load.slots).to.equal(20);
  });

  it('gives an instance that is known to be warm all its slots at once', () => {
    limit.restart(true);
    expect(limit.load.slots).to.equal(20);
  });

  // Work that waits for a named limit does not stand in the line yet when its target passes. It
  // has to count as late from then on: asked again and again, it would keep the process busy.
  it('takes work for late that still waits for a named limit', async () => {
    const resource = LimitResource.parse({ kind: 'limit', name: 'narrow', slots: 1, queue: 2 });
    const first = run({ name: 'first', resource, takesMs: 600 });
    await timers.tickAsync(1);
    const second = run({ name: 'second', resource, targetMs: 100, withinMs: 2_000 });
    await timers.tickAsync(110);
    expect(timers.countTimers()).to.equal(2);
    expect(await settled([first, second])).to.deep.equal({ done: 1, 'not-run overloaded': 1 });
  });

  // All slots are taken and a fresh request waits for one. A caller who was refused before comes
  // back and can only be answered late: told so at once, it leaves the next slot to whoever comes
  // fresh. A second later nobody fresh has waited any more, and the same caller may wait.
  it('lets late work wait only where nobody fresh has had to', async () => {
    await settled(batch(4, { takesMs: 100 }));
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
    expect(await settled([...held, fresh, ...others, again])).to.deep.equal({ done: 18 });
  });

  // The instance begins to drain while work waits for it. None of that is begun any more, and
  // what its callers are told lets them go elsewhere.
  it('begins nothing that waits once the instance drains', async () => {
    const runs = batch(10);
    limit.isDraining = true;
    expect(await settled(runs)).to.deep.equal({ done: 4, 'not-run draining': 6 });
  });
});
