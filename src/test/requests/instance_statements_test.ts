import { type IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { ConcurrencyLimiter } from '../../admission/concurrency_limiter.js';
import { formatLoad, parseLoad } from '../../admission/load.js';
import { MeshDialect } from '../../platform/mesh_dialect.js';
import { InstanceStatements } from '../../requests/instance_statements.js';
import { type AnnouncedEndpoint } from '../../requests/guard_request.js';
import { FakeTime } from '../fake_time.js';

const ANNOUNCED: AnnouncedEndpoint = {
  upstream: 'bookings',
  state: 'ready',
  slots: 18,
  host: '127.0.0.1',
  port: 1,
  id: 'i-1',
  born: 5,
};

describe('InstanceStatements', () => {
  /** The headers for entries, 40 ms after an answer of the instance with that load header. */
  async function headersAfter(load: string): Promise<string[]> {
    using time = new FakeTime();
    const limit = new ConcurrencyLimiter(time.clock, 18);
    const statements = new InstanceStatements(new MeshDialect(() => 'listings'), limit);
    statements.announced = ANNOUNCED;
    const headers = { 'barleyhaven-server-load': load };
    const answer = { headers, statusCode: 200 } as unknown as IncomingMessage;
    statements.record(ANNOUNCED, answer, time.clock.now());
    await time.advance(40);
    return statements.headersWith(limit.load);
  }

  it('reports how slow the machine is, as stated and with its age', async () => {
    const [name, value] = await headersAfter('3,0,18,250');
    expect([name, value]).to.deep.equal(['barleyhaven-slowness', '250,40']);
    const idle = { inFlight: 0, slots: 4, waiting: 0, heldMs: 0, leavingMs: 0 };
    const load = parseLoad(formatLoad(idle), undefined, value);
    expect(load).to.deep.equal({ ...idle, slowness: { factor: 2.5, ageMs: 40 } });
  });

  // Guards against a header more, or a job judged by a wrong figure, where an instance states none.
  it('reports nothing where the figure is absent or invalid', async () => {
    for (const load of ['3,0,18', '3,0,18,9', '3,0,18,10001', '3,0,18,-250', '3,0,18,250,1', '']) {
      expect(await headersAfter(load), load).to.deep.equal([]);
    }
  });
});
