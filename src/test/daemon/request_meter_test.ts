import { expect } from 'chai';
import { createServer, request } from 'node:http';
import { sendRequest } from '../../bench/http_client.js';
import { RequestMeter } from '../../daemon/request_meter.js';
import { OutcomeError } from '../../contracts.js';
import { refuse } from '../../requests/refusal.js';
import { MachineClock } from '../../runtime/clock.js';
import { listen, closeServer } from '../../standins/listen.js';

const DRAINING = { verdict: 'not-run', reason: 'draining' } as const;

describe('RequestMeter', () => {
  // Guards against counting a response as served although its connection closed half way through:
  // that caller never received the whole of it.
  it('counts complete, refused and cut responses separately', async () => {
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
    await sendRequest({ port, path: '/' });
    await sendRequest({ port, path: '/refused' });
    await new Promise<void>((resolve) => {
      const outgoing = request({ port, path: '/cut' }, (answer) => {
        answer.resume();
        answer.on('close', resolve);
        answer.on('error', () => {});
      });
      outgoing.end();
    });
    await closeServer(server);
    expect(meter.endings).toMatchSnapshot();
    expect(meter.latency.totalCount).to.equal(1);
    expect(meter.inFlight).to.equal(0);
  });
});
