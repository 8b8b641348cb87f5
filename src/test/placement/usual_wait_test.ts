import { expect } from 'chai';
import { UsualWaits } from '../../placement/usual_wait.js';

describe('UsualWaits', () => {
  // Callers wait 2,500 ms. One of them was refused, and comes back with 2,100 ms left: 400 ms of
  // the time in which an answer is of full use to it have passed.
  it('tells how long a caller who comes back has been waiting', () => {
    const waits = new UsualWaits();
    for (let caller = 0; caller < 10; caller++) waits.elapsed('menus', 2_500);
    expect(waits.elapsed('menus', 2_100)).to.equal(400);
    expect(waits.elapsed('menus', 2_500)).to.equal(0);
  });

  it('assumes nothing where each caller waits as it likes, and nothing of another route', () => {
    const waits = new UsualWaits();
    const elapsed = Array.from({ length: 50 }, (_, index) => waits.elapsed('menus', 3_000 - index));
    expect(new Set(elapsed)).to.deep.equal(new Set([0]));
    expect(waits.elapsed('seats', 100)).to.equal(0);
  });

  it('takes up another usual wait after a while', () => {
    const waits = new UsualWaits();
    for (let caller = 0; caller < 100; caller++) waits.elapsed('menus', 2_500);
    for (let caller = 0; caller < 100; caller++) waits.elapsed('menus', 1_000);
    expect(waits.elapsed('menus', 900)).to.equal(100);
  });
});
