import { type ServerResponse } from 'node:http';
import { expect } from 'chai';
import { asOutcome } from '../../contracts.js';
import { Presence } from '../../requests/presence.js';
import { MachineClock } from '../../runtime/clock.js';
import { headOf, leaveWhileHeld } from './held_callers.js';
import { Path } from './path.js';

const CALLERS = ['one', 'two', 'three', 'four', 'five'];
const SETTLE_MS = 300;

const settled = () =>
  new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });

/** A caller as it is seen from its connection. */
function caller() {
  const socket = { destroyed: false, readableEnded: false };
  const response = { destroyed: false, req: { socket } } as unknown as ServerResponse;
  return { socket, response };
}

describe('Presence', () => {
  // Guards against slots that stand idle for a look at a caller who was seen moments ago.
  it('lets a request on at once right after a look, and looks again after a wait', async () => {
    const clock = new MachineClock();
    const presence = new Presence(clock);
    const { socket, response } = caller();
    let isAtOnce = false;
    await presence.pass(response, async () => {
      const again = presence.pass(response, async () => {
        isAtOnce = true;
      });
      expect(isAtOnce).to.equal(true);
      await again;
    });
    await clock.sleepUntil(clock.now() + 50);
    const late = presence.pass(response, async () => 'passed on').catch(asOutcome);
    socket.readableEnded = true;
    expect(await late).to.include({ verdict: 'not-run', reason: 'cancelled' });
  });

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
