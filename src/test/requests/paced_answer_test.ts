import { Agent } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { MachineClock } from '../../runtime/clock.js';
import { LOOPBACK } from '../../standins/listen.js';
import { Path } from './path.js';

/** A megabyte takes a tenth of a second. */
const KBPS = 80_000;
const BYTES = 300_000;
const DOWNLOADS = 6;

describe('answers on a narrow link', () => {
  // Downloads wait for the link, and the instance is done with them. A short answer of the same
  // process does not stand behind them, and each download arrives whole.
  it('lets a short answer pass, and brings every download whole', async () => {
    await using path = await Path.start(1, new MachineClock(), KBPS);
    const { upstream } = path.stations[0]!;
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

  // A caller leaves in the middle of a download that waits for the link. Its place goes to others:
  // were its bytes counted for ever, the process would refuse every download in the end.
  it('gives up the place of an answer whose caller has gone', async () => {
    await using path = await Path.start(1, new MachineClock(), KBPS / 100);
    const { guard } = path.stations[0]!;
    const socket = connect(path.port, LOOPBACK);
    socket.write('GET /menus/list HTTP/1.1\r\nhost: a\r\nx-bytes: 90000\r\n\r\n');
    await until(() => guard.load.leavingMs > 0);
    socket.destroy();
    await until(() => guard.traffic.inFlight === 0 && guard.load.leavingMs < 500);
  });
});

/** Resolves when it holds; the test's own timeout is the bound. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
