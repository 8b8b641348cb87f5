import { expect } from 'chai';
import { Fleet } from '../../bench/fleet.js';
import { OperatorsPort, type ServedParts } from '../../daemon/operators_port.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen } from '../../standins/listen.js';
import { ask } from '../requests/test_path.js';

describe('OperatorsPort', () => {
  // Guards against a fault in one metric that ends the process: an error after the head of the
  // response was sent left an unhandled rejection.
  it('answers with an error if the metrics cannot be read, and goes on', async () => {
    const metrics = {
      contentType: 'text/plain',
      text: () => Promise.reject(new Error('no value')),
    };
    const parts = { metrics, isReady: () => true } as unknown as ServedParts;
    const { server } = new OperatorsPort(parts);
    const port = await listen(server);
    const answers = [await ask(port, { path: '/metrics' }), await ask(port, { path: '/ready' })];
    expect(answers.map(({ status }) => status)).to.deep.equal([400, 200]);
    await closeServer(server);
  });

  // Guards against metrics that fail before the first configuration, and against new series in
  // deployments without teams.
  it('serves the metrics of a process that has just started, without any of teams', async () => {
    const options = { dataCentres: ['arima'], upstreams: ['listings'] };
    await using fleet = await Fleet.start(new MachineClock(), options);
    const { operatorsPort } = fleet.nodes[0]!.instance;
    const { status, body } = await ask(operatorsPort, { path: '/metrics' });
    expect(status).to.equal(200);
    expect(body)
      .to.include('barleyhaven_version 0')
      .and.to.match(/barleyhaven_heap_used_bytes [1-9]\d+\n/)
      .and.not.to.match(/team|quota/);
  });
});
