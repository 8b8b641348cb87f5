import { expect } from 'chai';
import fc from 'fast-check';
import { FairShare, newAccount } from '../../admission/fair_share.js';
import { type WaitingJob } from '../../admission/waiting_order.js';
import { WaitingQueue } from '../../admission/waiting_queue.js';
import { TimerClock } from '../../runtime/clock.js';

function waiting(change: Partial<WaitingJob> = {}): WaitingJob {
  const account = newAccount();
  return { priority: 5, targetAt: 1_000, heldMs: 100, account, isLate: false, ...change };
}

describe('WaitingQueue', () => {
  let started: string[];
  let shares: FairShare;
  let queue: WaitingQueue;

  beforeEach(() => {
    started = [];
    shares = new FairShare(new TimerClock());
    queue = new WaitingQueue(shares);
  });

  function add(name: string, change: Partial<WaitingJob> = {}): WaitingJob {
    const entry = waiting(change);
    const run = async () => {
      started.push(name);
    };
    queue.enqueue(run, { id: name, waiting: entry });
    return entry;
  }

  function drain(): string[] {
    for (let run = queue.dequeue(); run; run = queue.dequeue()) void run();
    return started;
  }

  // Guards against order of arrival under overload: jobs that came first are late by now, and started
  // first they would make every job behind them late as well.
  it('starts jobs that can be in time before late ones, regardless of arrival', () => {
    add('late, came first', { isLate: true });
    add('late and urgent', { isLate: true, priority: 9 });
    add('in time', { targetAt: 900 });
    add('has least time left', { targetAt: 500 });
    add('urgent', { priority: 9, targetAt: 2_000 });
    expect(drain()).toMatchSnapshot();
  });

  it('moves a job that has become late behind the jobs in time', () => {
    const first = add('first', { targetAt: 100 });
    add('second', { targetAt: 200 });
    queue.demote(first);
    expect([queue.late, drain()]).to.deep.equal([1, ['second', 'first']]);
    expect(queue.late).to.equal(0);
  });

  it('sums the expected time of the jobs ahead', () => {
    add('before', { targetAt: 100, heldMs: 30 });
    add('behind', { targetAt: 300, heldMs: 50 });
    expect(queue.heldMsAhead(waiting({ targetAt: 200 }))).to.equal(30);
    expect(queue.heldMsAhead(waiting({ isLate: true }))).to.equal(80);
    expect(queue.jobsAhead(waiting({ targetAt: 200 }))).to.equal(1);
    expect(queue.jobsAhead(waiting({ isLate: true }))).to.equal(2);
  });

  /** Starts all waiting jobs; each is charged to its team when it starts. */
  function drainCharging(entries: Record<string, WaitingJob>): string[] {
    for (let run = queue.dequeue(); run; run = queue.dequeue()) {
      void run();
      const { account, heldMs } = entries[started.at(-1)!]!;
      shares.charge(account, heldMs);
    }
    return started;
  }

  // Guards against a team that gets more slots because it asks for more, or for longer ones.
  it('starts jobs of equal rank by what their teams have used, then by target', () => {
    const one = { account: shares.join('one') };
    const two = { account: shares.join('two') };
    const entries = {
      'one late': add('one late', { ...one, isLate: true }),
      'one urgent': add('one urgent', { ...one, priority: 9, targetAt: 2_000, heldMs: 50 }),
      'one second': add('one second', { ...one, targetAt: 500 }),
      'one first': add('one first', { ...one, targetAt: 400 }),
      'two long': add('two long', { ...two, targetAt: 600, heldMs: 300 }),
      'two short': add('two short', { ...two, targetAt: 700 }),
    };
    const third = waiting({ ...two, targetAt: 800, heldMs: 10 });
    expect([queue.heldMsAhead(third), queue.jobsAhead(third)]).to.deep.equal([650, 5]);
    expect(drainCharging(entries)).toMatchSnapshot();
  });

  // Guards against a refusal that hits a team because its job comes last, although others have more.
  it('names a job to refuse of the team most above its share, none of a higher priority', () => {
    const [one, two, own] = ['one', 'two', 'own'].map((team) => shares.join(team));
    add('urgent', { account: one!, priority: 9, heldMs: 1_000 });
    add('one first', { account: one! });
    const last = add('one last', { account: one!, targetAt: 2_000 });
    const late = add('two late', { account: two!, isLate: true });
    add('two first', { account: two! });
    const arriving = waiting({ account: own! });
    const any = () => true;
    expect(queue.displaceable(arriving, any)).to.equal(late);
    expect(queue.displaceable(arriving, ({ isLate }) => !isLate)).to.equal(last);
    expect(queue.displaceable(waiting({ account: own!, priority: 4 }), any)).to.equal(undefined);
    expect(queue.displaceable(waiting({ account: one! }), any)).to.equal(undefined);
  });

  it('keeps its order and its counts as jobs come and go (property)', () => {
    const entry = fc.record({
      priority: fc.nat(9),
      targetAt: fc.nat(1_000),
      heldMs: fc.nat(100),
      isLate: fc.boolean(),
    });
    const step = fc.oneof(
      fc.record({ kind: fc.constant('add' as const), entry }),
      fc.record({ kind: fc.constantFrom('begin' as const, 'leave' as const, 'demote' as const) }),
    );
    const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const queueUnderTest = new WaitingQueue(new FairShare(new TimerClock()));
      const held: { id: string; waiting: WaitingJob }[] = [];
      for (const [index, each] of steps.entries()) {
        const first = held[0];
        if (each.kind === 'add') {
          const added = { id: String(index), waiting: waiting(each.entry) };
          held.push(added);
          queueUnderTest.enqueue(async () => added.id, added);
        } else if (first && each.kind === 'leave') {
          queueUnderTest.remove(first.id);
          held.shift();
        } else if (first && each.kind === 'demote' && !first.waiting.isLate) {
          queueUnderTest.demote(first.waiting);
        } else if (first && each.kind === 'begin') {
          queueUnderTest.dequeue();
          const best = [...held].sort(
            (a, b) =>
              Number(a.waiting.isLate) - Number(b.waiting.isLate) ||
              b.waiting.priority - a.waiting.priority ||
              a.waiting.targetAt - b.waiting.targetAt,
          )[0]!;
          // Jobs of equal rank may start in any order.
          const begunAt = held.findIndex(({ waiting: other }) => sameRank(other, best.waiting));
          held.splice(begunAt, 1);
        }
        expect(queueUnderTest.size).to.equal(held.length);
        expect(queueUnderTest.late).to.equal(
          held.filter(({ waiting: other }) => other.isLate).length,
        );
        // Which of several jobs of equal rank was started is not known here, so the run ends.
        if (each.kind === 'begin') return;
      }
    });
    fc.assert(property, { seed: 3, numRuns: 300 });
  });
});

function sameRank(one: WaitingJob, other: WaitingJob): boolean {
  return (
    one.isLate === other.isLate &&
    one.priority === other.priority &&
    one.targetAt === other.targetAt
  );
}
