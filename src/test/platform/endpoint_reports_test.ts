import { once } from 'node:events';
import { request } from 'node:http';
import { type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createReportServer } from '../../platform/endpoint_reports.js';
import { listen, LOOPBACK } from '../../standins/listen.js';

const REPORT = {
  service: 'listings',
  address: '10.1.0.41:8628',
  zone: 'arima-1',
  version: 'v1',
  slots: 18,
  state: 'ready',
  coldRemaining: '0ms',
  sequence: 4,
  born: 1_796_000_000_000,
};

describe('endpointReports', () => {
  async function send(calls: readonly [call: string, body: string][]) {
    const told: unknown[] = [];
    const server = createReportServer(() => 'listings', {
      take: (announcement) => told.push(announcement),
      depart: (run) => told.push({ departs: run }),
      kept: () => Promise.resolve(),
    });
    await listen(server);
    const { port } = server.address() as AddressInfo;
    const statuses: (number | undefined)[] = [];
    for (const [call, body] of calls) {
      const path = `/api/rpc?call=${call}&of=i-7f3a91c2`;
      const sent = request({ host: LOOPBACK, port, method: 'POST', path, agent: false });
      sent.end(body);
      const [answer] = await once(sent, 'response');
      answer.resume();
      statuses.push(answer.statusCode);
    }
    server.close();
    return { statuses, told };
  }

  it('passes on the reports of an instance as announcements', async () => {
    const result = await send([
      ['instances.heartbeat', JSON.stringify(REPORT)],
      ['instances.heartbeat', JSON.stringify({ ...REPORT, state: 'draining', sequence: 5 })],
      ['instances.deregister', JSON.stringify({ born: REPORT.born })],
      ['instances.deregister', ''],
    ]);
    expect(result).toMatchSnapshot();
  });

  // Guards against an endpoint that another writer names, with reports of another service, unknown
  // states, missing fields or no JSON, and against an error of this process from them.
  it('refuses invalid reports and reports of another service', async () => {
    const result = await send([
      ['instances.heartbeat', JSON.stringify({ ...REPORT, service: 'bookings' })],
      ['instances.heartbeat', JSON.stringify({ ...REPORT, state: 'resting' })],
      ['instances.heartbeat', JSON.stringify({ service: 'listings' })],
      ['instances.heartbeat', '{'],
      ['instances.unheard', '{}'],
    ]);
    expect(result).to.deep.equal({ statuses: [400, 400, 400, 400, 404], told: [] });
  });
});
