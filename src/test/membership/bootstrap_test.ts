import { expect } from 'chai';
import { STEADY } from '../../membership/pace.js';
import { Fleet } from './fleet.js';

/** The size to design for, and the calls per second that membership may make at that size. */
const FULL_SIZE = 740;
const FULL_CAP = 200;
const SIZE = 100;
/** What the same calls per process come to in the fleet of the test. */
const CAP = (FULL_CAP * SIZE) / FULL_SIZE;

/** Most calls in any second until all know each other, and the time that took. */
async function measure(fleet: Fleet, isDone: () => boolean, limitMs: number) {
  const { calls } = fleet.platform;
  let most = 0;
  let tookMs = 0;
  while (!isDone() && tookMs < limitMs) {
    const before = calls.reads + calls.writes;
    await fleet.time.advance(1_000);
    most = Math.max(most, calls.reads + calls.writes - before);
    tookMs += 1_000;
  }
  return { tookMs, mostPerSecond: most, calls: calls.reads + calls.writes };
}

describe('Bootstrap', () => {
  it('keeps the calls of the whole fleet below the cap by their budget alone', () => {
    expect(FULL_SIZE * STEADY.callsPerSecond).to.be.below(FULL_CAP);
  });

  // All processes start at once with no address but the platform's, which is empty. None may be
  // left alone, and the platform must see no more calls a second than at any other time.
  it('brings processes together that know nobody, below the cap of calls', async function test() {
    this.timeout(30_000);
    await using fleet = new Fleet();
    fleet.startMany(SIZE, ['arima', 'couva'], []);
    const result = await measure(fleet, () => fleet.agrees(SIZE), 60_000);
    expect(result.mostPerSecond).to.be.below(CAP);
    expect(result.tookMs).to.be.below(60_000);
    expect(result).toMatchSnapshot();
  });

  // The whole fleet dies and starts anew at its old addresses. All find others at the addresses
  // from the settings; hardly any reads the directory.
  it('hardly asks the platform when a herd restarts with addresses in its settings', async () => {
    await using fleet = new Fleet();
    fleet.startMany(30);
    await fleet.until(() => fleet.agrees(30), 20_000);
    await Promise.all(fleet.nodes.map((node) => node.kill()));
    fleet.nodes.splice(0);
    const before = fleet.platform.calls.reads;
    fleet.startMany(30);
    expect(await fleet.until(() => fleet.agrees(30), 20_000)).to.be.below(10_000);
    expect(fleet.platform.calls.reads - before).to.be.at.most(3);
  });

  // The platform is down while all start without addresses. Nobody can find anybody, and the
  // attempts must thin out; when the platform is back, all come together.
  it('waits out an outage of the platform in growing windows', async () => {
    await using fleet = new Fleet();
    fleet.platform.faults.down = true;
    fleet.startMany(10, ['arima'], []);
    const outage = await measure(fleet, () => false, 120_000);
    fleet.platform.faults.down = false;
    const after = await measure(fleet, () => fleet.agrees(10), 120_000);
    expect(after.tookMs).to.be.below(60_000);
    expect({ outage, after }).toMatchSnapshot();
  });

  // All processes of a fleet die, and others take their place under new names and addresses. All
  // that the directory holds is dead. The new ones must still meet, and clear the dead away.
  it('brings replacements together though all that is registered is dead', async () => {
    await using fleet = new Fleet();
    fleet.startMany(12, ['arima'], []);
    await fleet.until(() => fleet.agrees(12), 60_000);
    await fleet.time.advance(60_000);
    await Promise.all(fleet.nodes.splice(0).map((node) => node.kill()));
    for (let number = 100; number < 112; number++) fleet.start(number);
    const tookMs = await fleet.until(() => fleet.agrees(12), 120_000);
    expect(tookMs).to.be.below(90_000);
    await fleet.time.advance(60_000);
    const stored = await fleet.platform.get('directory/arima', fleet.clock.now() + 1);
    expect(JSON.parse(stored!.value).members.length).to.equal(12);
  });
});
