import { expect } from 'chai';
import { headOf, leaveWhileHeld } from './held_callers.js';
import { Path } from './path.js';

const CALLERS = ['one', 'two', 'three', 'four', 'five'];
const SETTLE_MS = 300;

const settled = () =>
  new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });

describe('Presence', () => {
  // Guards against work for callers who left while the process stood still.
  it('keeps an entry that is late from passing on what nobody waits for', async () => {
    await using path = await Path.start();
    await path.ask({ path: '/menus/1', headers: { 'x-request': 'before' } });
    leaveWhileHeld(
      path.port,
      CALLERS.map((id) => headOf('/menus/1', { 'x-request': id })),
    );
    const { status } = await path.ask({ path: '/menus/1', headers: { 'x-request': 'after' } });
    await settled();
    expect(status).to.equal(200);
    expect(CALLERS.map((id) => path.runs(id))).to.deep.equal([0, 0, 0, 0, 0]);
    expect(path.runs('after')).to.equal(1);
  });

  // Guards against the same one hop further: the entry has given up, and its guard was late.
  it('keeps a guard that is late from passing on what its entry has given up', async () => {
    await using path = await Path.start();
    await path.ask({ path: '/menus/1', headers: { 'x-request': 'before' } });
    const [{ guard }] = path.stations as [(typeof path.stations)[0]];
    const { port } = guard.server.address() as { port: number };
    const handedOver = (id: string) => ({
      'x-request': id,
      'barleyhaven-upstream': 'bookings',
      'barleyhaven-exchange-id': id,
      'barleyhaven-remaining-ms': '5000',
      'barleyhaven-route': 'menus',
    });
    leaveWhileHeld(
      port,
      CALLERS.map((id) => headOf('/menus/1', handedOver(id))),
    );
    await settled();
    expect(CALLERS.map((id) => path.runs(id))).to.deep.equal([0, 0, 0, 0, 0]);
    const { status } = await path.ask({ path: '/menus/1', headers: { 'x-request': 'after' } });
    expect([status, path.runs('after')]).to.deep.equal([200, 1]);
  });
});
