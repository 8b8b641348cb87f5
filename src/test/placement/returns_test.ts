import { expect } from 'chai';
import { Returns } from '../../placement/returns.js';

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
});
