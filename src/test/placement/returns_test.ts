import { expect } from 'chai';
import { Returns } from '../../placement/returns.js';

/** What one process may spend on it: one in a hundred of the smallest machine's memory. */
const MOST_BYTES = 2_500_000;

describe('Returns', () => {
  // A caller waits 1,850 ms in all. It is refused, and comes back 600 ms later over a new
  // connection, which makes its time seem to end 16 ms later. Taken for a new caller it would get
  // the slot of one who can still be answered in time.
  it('knows a caller again by what it asks and until when it waits', () => {
    const returns = new Returns();
    returns.turnedAway({ asks: 'GET /menus/7', givesUpAt: 11_850 }, 10_000);
    expect(returns.firstAt({ asks: 'GET /menus/7', givesUpAt: 11_866 }, 10_616)).to.equal(10_000);
  });

  it('keeps the instant of the first attempt over several refusals', () => {
    const returns = new Returns();
    const caller = { asks: 'GET /menus/7', givesUpAt: 11_850 };
    returns.turnedAway(caller, 10_000);
    returns.turnedAway(caller, returns.firstAt(caller, 10_600));
    expect(returns.firstAt(caller, 11_200)).to.equal(10_000);
  });

  // Two callers want the same page. One was refused; the other has just come, and waits until
  // another instant.
  it('takes nobody else for that caller', () => {
    const returns = new Returns();
    returns.turnedAway({ asks: 'GET /menus/7', givesUpAt: 11_850 }, 10_000);
    expect(returns.firstAt({ asks: 'GET /menus/7', givesUpAt: 12_450 }, 10_600)).to.equal(10_600);
    expect(returns.firstAt({ asks: 'GET /menus/8', givesUpAt: 11_850 }, 10_600)).to.equal(10_600);
  });

  it('forgets the oldest of very many', () => {
    const returns = new Returns();
    for (let caller = 0; caller < 5_000; caller++) {
      returns.turnedAway({ asks: `GET /${caller}`, givesUpAt: 12_000 }, 10_000);
    }
    expect(returns.firstAt({ asks: 'GET /0', givesUpAt: 12_000 }, 10_500)).to.equal(10_500);
    expect(returns.firstAt({ asks: 'GET /4999', givesUpAt: 12_000 }, 10_500)).to.equal(10_000);
  });

  // Callers ask for paths of 15,000 characters and are refused, thousands of them. Held by number
  // alone they would take 60 MB of a process that has 250, which is killed for it.
  it('holds a bounded number of bytes, the latest callers first', () => {
    const returns = new Returns();
    const callerOf = (index: number) => ({
      asks: `${index} ${'x'.repeat(15_000)}`,
      givesUpAt: 5_000,
    });
    for (let index = 0; index < 1_000; index++) returns.turnedAway(callerOf(index), 1_000);
    const known = Array.from({ length: 1_000 }, (_, index) => index).filter(
      (index) => returns.firstAt(callerOf(index), 2_000) === 1_000,
    );
    expect(known.length * 15_000).to.be.at.most(MOST_BYTES);
    expect(known.at(-1)).to.equal(999);
  });
});
