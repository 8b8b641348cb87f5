import { expect } from 'chai';
import { sendRequest, type HttpResponse } from '../../bench/http_client.js';
import { Fleet } from '../../bench/fleet.js';
import { ReleaseNote } from '../../contracts.js';
import { MachineClock } from '../../runtime/clock.js';

const clock = new MachineClock();
/** Long enough for any machine; each wait ends as soon as its condition holds. */
const WAIT_TIMEOUT_MS = 15_000;
const NOTE = ReleaseNote.parse({
  id: 'opening-night',
  author: 'dana',
  add: {
    upstreams: [{ name: 'bookings' }],
    routes: [{ name: 'seats', pathPrefix: '/seats', upstream: 'bookings' }],
  },
});

describe('Safeguards', () => {
  let fleet: Fleet;

  before(async () => {
    const dataCentres = ['arima', 'amman'];
    fleet = await Fleet.start(clock, { dataCentres, upstreams: ['bookings', 'bookings'] });
    await until(() =>
      fleet.nodes.every(({ instance }) => instance.isReady && seesAllReady(instance)),
    );
    await fleet.nodes[0]!.instance.source.submit(NOTE, clock.now() + WAIT_TIMEOUT_MS);
    await until(() => fleet.nodes.every(({ instance }) => instance.replica.current.number > 0));
  });

  after(() => fleet[Symbol.asyncDispose]());

  function seesAllReady({ roster }: Fleet['nodes'][number]['instance']): boolean {
    const ready = roster.live().filter(({ endpoint }) => endpoint?.state === 'ready');
    return ready.length === fleet.nodes.length;
  }

  async function until(condition: () => boolean): Promise<void> {
    expect(await fleet.waitUntil(condition, clock.now() + WAIT_TIMEOUT_MS)).to.equal(true);
  }

  function book(
    index: number,
    headers: Record<string, string>,
    body = 'seat 12',
  ): Promise<HttpResponse> {
    const { callerPort: port } = fleet.nodes[index]!.instance;
    return sendRequest({ port, path: '/seats/1', method: 'POST', headers, body });
  }

  function knownDeaths(): number[] {
    return fleet.nodes.map(({ instance }) => instance.safeguards.quarantine.deaths);
  }

  function runs(id: string): number {
    return fleet.nodes.reduce((sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0), 0);
  }

  // Guards against a booking that runs twice when it reaches all four processes in both data centres
  // at once: the others refuse it, and any process tells a retry the outcome.
  it('runs a booking once that arrives in both data centres at the same time', async () => {
    for (let key = 0; key < 10; key++) {
      const headers = { 'idempotency-key': `k-${key}`, 'x-request': `booking-${key}` };
      const tries = await Promise.all([0, 1, 2, 3].map((index) => book(index, headers)));
      const statuses = tries.map(({ status }) => status);
      expect(statuses.filter((status) => status === 200)).to.have.length.at.least(1);
      expect(statuses.every((status) => status === 200 || status === 409)).to.equal(true);
      const again = await book(key % 4, headers);
      expect(again.headers['barleyhaven-replayed']).to.equal('true');
      expect(runs(`booking-${key}`)).to.equal(1);
    }
  });

  // Guards against a booking that crashes every upstream instance that runs it: after two deaths every
  // process refuses it, and the other two instances go on.
  it('quarantines a request on all processes after it has crashed two upstream instances', async () => {
    const poison = { 'x-conduct': 'crash', 'x-request': 'poison' };
    for (let death = 1; death <= 2; death++) {
      expect((await book(0, poison)).headers['barleyhaven-verdict']).to.equal('may-have-run');
      await until(() => knownDeaths().every((deaths) => deaths === death));
    }
    for (const index of [0, 1, 2, 3]) {
      const { headers } = await book(index, poison);
      expect(headers['barleyhaven-reason']).to.equal('quarantined');
    }
    expect(runs('poison')).to.equal(2);
    const innocent = await book(0, { 'x-request': 'innocent' }, 'seat 13');
    expect(innocent.status).to.equal(200);
  });
});
