import { expect } from 'chai';
import { ask, type Answer } from '../../bench/caller.js';
import { Fleet } from '../../bench/fleet.js';
import { ReleaseNote } from '../../contracts.js';
import { MachineClock } from '../../runtime/clock.js';

const clock = new MachineClock();
/** Long enough for any machine; the tests go on as soon as what they wait for is there. */
const PATIENCE_MS = 15_000;
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
    await until(() => fleet.stations.every(({ instance }) => instance.isReady && sees(instance)));
    await fleet.stations[0]!.instance.source.submit(NOTE, clock.now() + PATIENCE_MS);
    await until(() => fleet.stations.every(({ instance }) => instance.replica.current.number > 0));
  });

  after(() => fleet[Symbol.asyncDispose]());

  function sees({ roster }: Fleet['stations'][number]['instance']): boolean {
    const ready = roster.live().filter(({ endpoint }) => endpoint?.state === 'ready');
    return ready.length === fleet.stations.length;
  }

  async function until(condition: () => boolean): Promise<void> {
    expect(await fleet.until(condition, clock.now() + PATIENCE_MS)).to.equal(true);
  }

  function book(index: number, headers: Record<string, string>, body = 'seat 12'): Promise<Answer> {
    const { callerPort: port } = fleet.stations[index]!.instance;
    return ask({ port, path: '/seats/1', method: 'POST', headers, body });
  }

  function deathsKnown(): number[] {
    return fleet.stations.map(({ instance }) => instance.safeguards.quarantine.deaths);
  }

  function runs(id: string): number {
    return fleet.stations.reduce((sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0), 0);
  }

  // A guest's booking reaches all four processes in both data centres at once. It runs once; the
  // others refuse, and a repeat is told the outcome by whichever process it reaches.
  it('runs a booking once that reaches both data centres at once', async () => {
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

  // A booking crashes every upstream instance that runs it, and its caller sends it again and
  // again. Two instances die; then every process knows, and the other two go on booking.
  it('keeps a request from the third upstream instance in the whole fleet', async () => {
    const poison = { 'x-conduct': 'crash', 'x-request': 'poison' };
    for (let death = 1; death <= 2; death++) {
      expect((await book(0, poison)).headers['barleyhaven-verdict']).to.equal('may-have-run');
      await until(() => deathsKnown().every((deaths) => deaths === death));
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
