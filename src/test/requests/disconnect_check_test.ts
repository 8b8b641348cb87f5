import { type ServerResponse } from 'node:http';
import { expect } from 'chai';
import { asOutcome } from '../../contracts.js';
import { DisconnectCheck } from '../../requests/disconnect_check.js';
import { MachineClock } from '../../runtime/clock.js';
import { headOf, disconnectWhileBlocked } from './disconnecting_callers.js';
import { TestPath } from './test_path.js';

const CALLERS = ['one', 'two', 'three', 'four', 'five'];
const SETTLE_MS = 300;

const settled = () =>
  new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });

/** A caller whose connection state can be set. */
function caller() {
  const socket = { destroyed: false, readableEnded: false };
  const response = { destroyed: false, req: { socket } } as unknown as ServerResponse;
  return { socket, response };
}

describe('DisconnectCheck', () => {
  // Guards against slots that are idle during the check of a caller who was checked moments ago.
  it('starts a recently checked request at once, and checks again after a wait', async () => {
    const clock = new MachineClock();
    const disconnectCheck = new DisconnectCheck(clock);
    const { socket, response } = caller();
    let isAtOnce = false;
    await disconnectCheck.runIfConnected(response, async () => {
      const again = disconnectCheck.runIfConnected(response, async () => {
        isAtOnce = true;
      });
      expect(isAtOnce).to.equal(true);
      await again;
    });
    await clock.sleepUntil(clock.now() + 50);
    const late = disconnectCheck.runIfConnected(response, async () => 'passed on').catch(asOutcome);
    socket.readableEnded = true;
    expect(await late).to.include({ verdict: 'not-run', reason: 'cancelled' });
  });

  it('reports a request that waited long for the check, once a second', async () => {
    const clock = new MachineClock();
    const disconnectCheck = new DisconnectCheck(clock);
    const waits: number[] = [];
    disconnectCheck.onLongWait = (waitedMs) => waits.push(waitedMs);
    const checks = [1, 2, 3].map(() =>
      disconnectCheck.runIfConnected(caller().response, async () => {}),
    );
    const until = clock.now() + 150;
    while (clock.now() < until);
    await Promise.all(checks);
    expect(waits).to.have.length(1);
  });

  // Guards against work for callers who disconnected while the process was blocked.
  it('keeps a stalled entry from forwarding requests of disconnected callers', async () => {
    await using path = await TestPath.start();
    await path.ask({ path: '/menus/1', headers: { 'x-request': 'before' } });
    disconnectWhileBlocked(
      path.port,
      CALLERS.map((id) => headOf('/menus/1', { 'x-request': id })),
    );
    const { status } = await path.ask({ path: '/menus/1', headers: { 'x-request': 'after' } });
    await settled();
    expect(status).to.equal(200);
    expect(CALLERS.map((id) => path.runs(id))).to.deep.equal([0, 0, 0, 0, 0]);
    expect(path.runs('after')).to.equal(1);
  });

  // Guards against the same one hop further: the entry has cancelled, and its guard was blocked.
  it('keeps a stalled guard from forwarding requests that the entry has cancelled', async () => {
    await using path = await TestPath.start();
    await path.ask({ path: '/menus/1', headers: { 'x-request': 'before' } });
    const [{ guard }] = path.endpoints as [(typeof path.endpoints)[0]];
    const { port } = guard.server.address() as { port: number };
    const handedOver = (id: string) => ({
      'x-request': id,
      'barleyhaven-upstream': 'bookings',
      'barleyhaven-exchange-id': id,
      'barleyhaven-remaining-ms': '5000',
      'barleyhaven-route': 'menus',
    });
    disconnectWhileBlocked(
      port,
      CALLERS.map((id) => headOf('/menus/1', handedOver(id))),
    );
    await settled();
    expect(CALLERS.map((id) => path.runs(id))).to.deep.equal([0, 0, 0, 0, 0]);
    const { status } = await path.ask({ path: '/menus/1', headers: { 'x-request': 'after' } });
    expect([status, path.runs('after')]).to.deep.equal([200, 1]);
  });
});
