import { expect } from 'chai';
import { Uplink } from '../../admission/uplink.js';
import { Configuration } from '../../configuration/configuration.js';
import { DEFAULT_DIALECT } from '../../requests/default_dialect.js';
import { DisconnectCheck } from '../../requests/disconnect_check.js';
import { Guard } from '../../requests/guard.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { ask } from './test_path.js';

const clock = new MachineClock();

/** Stands for a process so late that no check ends before the callers' deadlines. */
class EndlessCheck extends DisconnectCheck {
  override runIfConnected<T>(): Promise<T> {
    return new Promise(() => {});
  }
}

describe('Guard', () => {
  let guard: Guard;
  let port: number;

  beforeEach(async () => {
    guard = new Guard(clock, DEFAULT_DIALECT, new Uplink(clock), new EndlessCheck(clock));
    guard.configuration = () => Configuration.empty;
    const endpoint = { upstream: 'bookings', state: 'ready', slots: 20 } as const;
    guard.announce({ ...endpoint, host: LOOPBACK, port: 1 });
    port = await listen(guard.server);
  });

  afterEach(async () => {
    await guard[Symbol.asyncDispose]();
    await closeServer(guard.server);
  });

  async function refusalOf(upstream = 'bookings') {
    const headers = { 'barleyhaven-upstream': upstream, 'barleyhaven-remaining-ms': '500' };
    const answer = await ask(port, { path: '/menus', headers });
    return [answer.status, answer.headers['barleyhaven-reason']];
  }

  // Guards against refusals that come late where a process is late: they need no check of the caller.
  it('refuses at once what it cannot serve, before it checks that the caller is connected', async () => {
    const refusals = [await refusalOf('listings')];
    guard.limit.recordRateLimit(0, 0);
    refusals.push(await refusalOf());
    guard.announce({ ...guard.announced!, state: 'draining' });
    refusals.push(await refusalOf());
    expect(refusals).to.deep.equal([
      [503, 'no-endpoint'],
      [503, 'overloaded'],
      [503, 'draining'],
    ]);
  });
});
