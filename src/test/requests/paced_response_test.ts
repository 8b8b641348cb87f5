import { Agent } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { MachineClock } from '../../runtime/clock.js';
import { LOOPBACK } from '../../standins/listen.js';
import { TestPath } from './test_path.js';

/** Uplink rate: a megabyte takes a tenth of a second. */
const KBPS = 80_000;
const BYTES = 300_000;
const DOWNLOADS = 6;

describe('responses on a slow uplink', () => {
  // Guards against short responses that wait behind downloads queued for the uplink, and against
  // truncated downloads; the upstream instance has already finished them.
  it('lets a short response overtake downloads, and delivers every download completely', async () => {
    await using path = await TestPath.start(1, new MachineClock(), KBPS);
    const { upstream } = path.endpoints[0]!;
    const agent = new Agent({ keepAlive: true });
    let read = 0;
    upstream.on('answered', () => {
      read += 1;
    });
    const order: string[] = [];
    const download = async (index: number) => {
      const headers = { 'x-bytes': BYTES, 'x-request': `d${index}` };
      const answer = await path.ask({ path: '/menus/list', headers, agent });
      order.push('download');
      return answer.body;
    };
    const downloads = Array.from({ length: DOWNLOADS }, (_, index) => download(index));
    await until(() => read === DOWNLOADS);
    const short = await path.ask({ path: '/short' });
    order.push('short');
    const bodies = await Promise.all(downloads);
    agent.destroy();
    expect(short.status).to.equal(200);
    bodies.forEach((body, index) => {
      const whole = `d${index}`.repeat(BYTES).slice(0, 4);
      expect([body.length, body.slice(0, 4)]).to.deep.equal([BYTES, whole]);
    });
    expect(order.indexOf('short')).to.be.lessThan(order.lastIndexOf('download'));
  });

  // Guards against a reservation that outlives its caller: if its bytes counted for ever, the process
  // would refuse all downloads in the end.
  it('releases the uplink reservation of a caller who disconnected', async () => {
    await using path = await TestPath.start(1, new MachineClock(), KBPS / 100);
    const { guard } = path.endpoints[0]!;
    const socket = connect(path.port, LOOPBACK);
    socket.write('GET /menus/list HTTP/1.1\r\nhost: a\r\nx-bytes: 90000\r\n\r\n');
    await until(() => guard.load.leavingMs > 0);
    socket.destroy();
    await until(() => guard.tracker.inFlight === 0 && guard.load.leavingMs < 500);
  });
});

/** Resolves when the condition holds; limited by the timeout of the test. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
