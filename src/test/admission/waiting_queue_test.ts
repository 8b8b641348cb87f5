import { expect } from 'chai';
import fc from 'fast-check';
import { type WaitingJob, WaitingQueue } from '../../admission/waiting_queue.js';

function waiting(change: Partial<WaitingJob> = {}): WaitingJob {
  return { priority: 5, targetAt: 1_000, heldMs: 100, isLate: false, ...change };
}

describe('WaitingQueue', () => {
  let started: string[];
  let queue: WaitingQueue;

  beforeEach(() => {
    started = [];
    queue = new WaitingQueue();
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
      const queueUnderTest = new WaitingQueue();
      const held: { id: string; waiting: WaitingJob }[] = [];
      for (const [index, each] of steps.entries()) {
        const first = held[0];
        if (each.kind === 'add') {
          const added = { id: String(index), waiting: { ...each.entry } };
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
