import { expect } from 'chai';
import fc from 'fast-check';
import { type Waiting, WaitingLine } from '../../admission/waiting_line.js';

function waiting(change: Partial<Waiting> = {}): Waiting {
  return { priority: 5, targetAt: 1_000, heldMs: 100, isLate: false, ...change };
}

describe('WaitingLine', () => {
  let begun: string[];
  let line: WaitingLine;

  beforeEach(() => {
    begun = [];
    line = new WaitingLine();
  });

  function add(name: string, change: Partial<Waiting> = {}): Waiting {
    const entry = waiting(change);
    const run = async () => {
      begun.push(name);
    };
    line.enqueue(run, { id: name, waiting: entry });
    return entry;
  }

  function drain(): string[] {
    for (let run = line.dequeue(); run; run = line.dequeue()) void run();
    return begun;
  }

  // More work comes than can be done. Those who came first can only be answered late by now. Were
  // they begun first, everybody behind them would be late as well, and so on for good.
  it('begins what can be in time before what cannot, whatever came first', () => {
    add('late, came first', { isLate: true });
    add('late and urgent', { isLate: true, priority: 9 });
    add('in time', { targetAt: 900 });
    add('has least time left', { targetAt: 500 });
    add('urgent', { priority: 9, targetAt: 2_000 });
    expect(drain()).toMatchSnapshot();
  });

  it('moves what has become late behind what has not', () => {
    const first = add('first', { targetAt: 100 });
    add('second', { targetAt: 200 });
    line.demote(first);
    expect([line.late, drain()]).to.deep.equal([1, ['second', 'first']]);
    expect(line.late).to.equal(0);
  });

  it('tells how long the slots are held by what goes before', () => {
    add('before', { targetAt: 100, heldMs: 30 });
    add('behind', { targetAt: 300, heldMs: 50 });
    expect(line.heldAhead(waiting({ targetAt: 200 }))).to.equal(30);
    expect(line.heldAhead(waiting({ isLate: true }))).to.equal(80);
  });

  it('keeps its order and its counts whatever comes and goes (property)', () => {
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
      const tested = new WaitingLine();
      const held: { id: string; waiting: Waiting }[] = [];
      for (const [index, each] of steps.entries()) {
        const first = held[0];
        if (each.kind === 'add') {
          const added = { id: String(index), waiting: { ...each.entry } };
          held.push(added);
          tested.enqueue(async () => added.id, added);
        } else if (first && each.kind === 'leave') {
          tested.remove(first.id);
          held.shift();
        } else if (first && each.kind === 'demote' && !first.waiting.isLate) {
          tested.demote(first.waiting);
        } else if (first && each.kind === 'begin') {
          tested.dequeue();
          const best = [...held].sort(
            (a, b) =>
              Number(a.waiting.isLate) - Number(b.waiting.isLate) ||
              b.waiting.priority - a.waiting.priority ||
              a.waiting.targetAt - b.waiting.targetAt,
          )[0]!;
          // Equal ones may go in any order; one of them is as good as the other.
          const begunAt = held.findIndex(({ waiting: other }) => sameRank(other, best.waiting));
          held.splice(begunAt, 1);
        }
        expect(tested.size).to.equal(held.length);
        expect(tested.late).to.equal(held.filter(({ waiting: other }) => other.isLate).length);
        // Which of several equal ones was begun is not known here: the run ends with it.
        if (each.kind === 'begin') return;
      }
    });
    fc.assert(property, { seed: 3, numRuns: 300 });
  });
});

function sameRank(one: Waiting, other: Waiting): boolean {
  return (
    one.isLate === other.isLate &&
    one.priority === other.priority &&
    one.targetAt === other.targetAt
  );
}
