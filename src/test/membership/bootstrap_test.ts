import { expect } from 'chai';
import { STEADY } from '../../membership/pace.js';
import { Fleet } from './fleet.js';

/** Design size of a fleet, and the platform calls per second that membership may make then. */
const FULL_SIZE = 740;
const FULL_CAP = 200;
const SIZE = 100;
/** The same rate per process in a fleet of `SIZE`. */
const CAP = (FULL_CAP * SIZE) / FULL_SIZE;

/** Peak calls per second until `isDone`, the time that took and all calls until then. */
async function measure(fleet: Fleet, isDone: () => boolean, limitMs: number) {
  const { calls } = fleet.platform;
  let peak = 0;
  let tookMs = 0;
  while (!isDone() && tookMs < limitMs) {
    const before = calls.reads + calls.writes;
    await fleet.time.advance(1_000);
    peak = Math.max(peak, calls.reads + calls.writes - before);
    tookMs += 1_000;
  }
  return { tookMs, mostPerSecond: peak, calls: calls.reads + calls.writes };
}

describe('Bootstrap', () => {
  it('keeps the calls of a full-size fleet below the cap by the budget of each process', () => {
    expect(FULL_SIZE * STEADY.callsPerSecond).to.be.below(FULL_CAP);
  });

  // Guards against isolated processes, and against a peak of calls to the platform, when a whole
  // fleet starts without configured addresses and with an empty directory.
  it('connects processes without configured addresses, below the cap of calls', async function test() {
    this.timeout(30_000);
    await using fleet = new Fleet();
    fleet.startMany(SIZE, ['arima', 'couva'], []);
    const result = await measure(fleet, () => fleet.agrees(SIZE), 60_000);
    expect(result.mostPerSecond).to.be.below(CAP);
    expect(result.tookMs).to.be.below(60_000);
    expect(result).toMatchSnapshot();
  });

  // Guards against a peak of directory reads when a whole fleet restarts at its configured
  // addresses.
  it('reads the directory at most three times when a fleet with configured addresses restarts', async () => {
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

  // Guards against a constant rate of attempts during a platform outage, and against processes that
  // stay isolated after it.
  it('retries with growing windows during a platform outage', async () => {
    await using fleet = new Fleet();
    fleet.platform.faults.down = true;
    fleet.startMany(10, ['arima'], []);
    const outage = await measure(fleet, () => false, 120_000);
    fleet.platform.faults.down = false;
    const after = await measure(fleet, () => fleet.agrees(10), 120_000);
    expect(after.tookMs).to.be.below(60_000);
    expect({ outage, after }).toMatchSnapshot();
  });

  // Guards against replacements under new names and addresses that do not find each other because
  // the directory lists only dead members; these must be removed as well.
  it('connects replacements when all registered members are dead', async () => {
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
