import { expect } from 'chai';
import { ReturningCallers } from '../../placement/returning_callers.js';

/** Memory that one process may use for it: 1 % of the memory of the smallest machine. */
const MAX_BYTES = 2_500_000;

describe('ReturningCallers', () => {
  // Guards against a refused caller that is taken for a new one, and gets a slot before those still in
  // time: it retries after 600 ms over a new connection, which moves its end by 16 ms.
  it('recognizes a caller by what it requests and until when it waits', () => {
    const returningCallers = new ReturningCallers();
    returningCallers.recordRefusal({ asks: 'GET /menus/7', givesUpAt: 11_850 }, 10_000);
    expect(returningCallers.firstAt({ asks: 'GET /menus/7', givesUpAt: 11_866 }, 10_616)).to.equal(
      10_000,
    );
  });

  it('keeps the instant of the first attempt through several refusals', () => {
    const returningCallers = new ReturningCallers();
    const caller = { asks: 'GET /menus/7', givesUpAt: 11_850 };
    returningCallers.recordRefusal(caller, 10_000);
    returningCallers.recordRefusal(caller, returningCallers.firstAt(caller, 10_600));
    expect(returningCallers.firstAt(caller, 11_200)).to.equal(10_000);
  });

  // Guards against a new caller that is taken for a refused one: it requests the same page, but waits
  // until another instant, or requests another page.
  it('does not take another caller for the refused one', () => {
    const returningCallers = new ReturningCallers();
    returningCallers.recordRefusal({ asks: 'GET /menus/7', givesUpAt: 11_850 }, 10_000);
    expect(returningCallers.firstAt({ asks: 'GET /menus/7', givesUpAt: 12_450 }, 10_600)).to.equal(
      10_600,
    );
    expect(returningCallers.firstAt({ asks: 'GET /menus/8', givesUpAt: 11_850 }, 10_600)).to.equal(
      10_600,
    );
  });

  it('evicts the oldest callers beyond the maximum number', () => {
    const returningCallers = new ReturningCallers();
    for (let caller = 0; caller < 5_000; caller++) {
      returningCallers.recordRefusal({ asks: `GET /${caller}`, givesUpAt: 12_000 }, 10_000);
    }
    expect(returningCallers.firstAt({ asks: 'GET /0', givesUpAt: 12_000 }, 10_500)).to.equal(
      10_500,
    );
    expect(returningCallers.firstAt({ asks: 'GET /4999', givesUpAt: 12_000 }, 10_500)).to.equal(
      10_000,
    );
  });

  // Guards against refused requests with paths of 15,000 characters: bounded by number only, they
  // would take 60 MB of a process that has 250, and it would be killed.
  it('uses a bounded number of bytes, and keeps the latest callers', () => {
    const returningCallers = new ReturningCallers();
    const callerOf = (index: number) => ({
      asks: `${index} ${'x'.repeat(15_000)}`,
      givesUpAt: 5_000,
    });
    for (let index = 0; index < 1_000; index++)
      returningCallers.recordRefusal(callerOf(index), 1_000);
    const known = Array.from({ length: 1_000 }, (_, index) => index).filter(
      (index) => returningCallers.firstAt(callerOf(index), 2_000) === 1_000,
    );
    expect(known.length * 15_000).to.be.at.most(MAX_BYTES);
    expect(known.at(-1)).to.equal(999);
  });
});
