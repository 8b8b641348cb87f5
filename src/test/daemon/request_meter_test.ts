import { expect } from 'chai';
import { createServer, request } from 'node:http';
import { ask } from '../../bench/caller.js';
import { RequestMeter } from '../../daemon/request_meter.js';
import { OutcomeError } from '../../contracts.js';
import { refuse } from '../../requests/refusal.js';
import { MachineClock } from '../../runtime/clock.js';
import { listen, shut } from '../../standins/listen.js';

const DRAINING = { verdict: 'not-run', reason: 'draining' } as const;

describe('RequestMeter', () => {
  // One caller is answered, one is refused, and the third loses its connection half way through
  // the answer. The last one must not count as answered: the caller never got the whole of it.
  it('tells answers, refusals and cut answers apart', async () => {
    const server = createServer((incoming, response) => {
      if (incoming.url === '/refused') {
        refuse(response, new OutcomeError('leaving', DRAINING), 0);
      } else if (incoming.url === '/cut') {
        response.writeHead(200, { 'content-length': 100 });
        response.write('half', () => response.destroy());
      } else response.end('whole');
    });
    const meter = new RequestMeter(server, new MachineClock());
    const port = await listen(server);
    await ask({ port, path: '/' });
    await ask({ port, path: '/refused' });
    await new Promise<void>((resolve) => {
      const outgoing = request({ port, path: '/cut' }, (answer) => {
        answer.resume();
        answer.on('close', resolve);
        answer.on('error', () => {});
      });
      outgoing.end();
    });
    await shut(server);
    expect(meter.endings).toMatchSnapshot();
    expect(meter.latency.totalCount).to.equal(1);
    expect(meter.inFlight).to.equal(0);
  });
});
