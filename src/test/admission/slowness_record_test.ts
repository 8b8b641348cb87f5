import { expect } from 'chai';
import * as fc from 'fast-check';
import { slowedMs, usualMs } from '../../admission/slowness.js';
import { SlownessRecord } from '../../admission/slowness_record.js';
import { ManualClock } from '../manual_clock.js';

describe('SlownessRecord', () => {
  const start = 1_000_000;
  const duration = fc.double({ min: 0, max: 10_000, noNaN: true });
  const factor = fc.double({ min: 0.1, max: 100, noNaN: true });

  /** A record of statements, by their time after the start. */
  function recordOf(statements: readonly (readonly [atMs: number, factor: number])[]) {
    const clock = new ManualClock();
    const record = new SlownessRecord(clock);
    for (const [atMs, stated] of statements) {
      clock.instant = start + atMs;
      record.record(stated);
    }
    return { clock, record };
  }

  // Guards against other decisions than before where no instance states the figure, even by rounding.
  it('changes no duration at all without a statement, or after the last has expired (property)', () => {
    const expired = recordOf([[0, 2.5]]);
    expired.clock.instant += 3_000;
    for (const { record, clock } of [recordOf([]), expired]) {
      expect(record.latest).to.equal(undefined);
      const property = fc.property(duration, fc.integer({ min: 0, max: 9_999 }), (ms, wholeMs) => {
        const { instant } = clock;
        expect(record.expectedMs(ms)).to.equal(ms);
        expect(record.usualMs(instant, instant + wholeMs)).to.equal(wholeMs);
      });
      fc.assert(property);
    }
  });

  it('expects a duration between the usual and the slowed one, and can revert it (property)', () => {
    const property = fc.property(duration, factor, (ms, stated) => {
      const slowed = slowedMs(ms, stated);
      expect(slowed).to.be.within(
        Math.min(ms, ms * stated) - 1e-6,
        Math.max(ms, ms * stated) + 1e-6,
      );
      expect(usualMs(slowed, stated)).to.be.closeTo(ms, 1e-6);
    });
    fc.assert(property);
  });

  it('lets a statement decay, and reports it as stated, with its age', () => {
    const { record, clock } = recordOf([[0, 2.5]]);
    const expected = [0, 100, 400, 1_000].map((ageMs) => {
      clock.instant = start + ageMs;
      return [ageMs, Math.round(record.expectedMs(190)), Math.round(record.expectedMs(190, 100))];
    });
    expect(record.latest).to.deep.equal({ factor: 2.5, ageMs: 1_000 });
    expect(expected).toMatchSnapshot();
  });

  // Guards against slow phases that enter the averages, so that an instance looks slow after them.
  it('normalizes a duration by the statements during it', () => {
    const every = (fromMs: number, toMs: number, stated: number) =>
      Array.from(
        { length: (toMs - fromMs) / 20 },
        (_, index) => [fromMs + index * 20, stated] as const,
      );
    const { record } = recordOf([
      ...every(0, 200, 1),
      ...every(200, 400, 2.5),
      ...every(400, 600, 1),
    ]);
    const of = (fromMs: number, toMs: number) => record.usualMs(start + fromMs, start + toMs);
    expect([of(0, 180), of(250, 350), of(100, 500)].map(Math.round)).to.deep.equal([180, 40, 280]);
  });

  // Guards against memory that grows with the requests per second, and against a burst of answers
  // that replaces the statements of the jobs that still run.
  it('remembers a bounded number of statements, at intervals, and always the last', () => {
    const burst = Array.from({ length: 5_000 }, (_, index) => [200 + index / 1_000, 2.5] as const);
    const { record } = recordOf([[0, 1], [100, 5], ...burst, [206, 4]]);
    expect(record.latest?.factor).to.equal(4);
    expect(record.usualMs(start, start + 150)).to.be.closeTo(50 + 100 / 5, 1e-6);
  });
});
