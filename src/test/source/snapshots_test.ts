import { expect } from 'chai';
import { Replica } from '../../distribution/replica.js';
import { Reader } from '../../distribution/reader.js';
import { type Ranking } from '../../membership/ranking.js';
import { SeededRandom } from '../../runtime/random.js';
import { Log } from '../../source/log.js';
import { LogFeed } from '../../source/log_feed.js';
import { SNAPSHOT_EVERY } from '../../source/publisher.js';
import { Snapshots } from '../../source/snapshots.js';
import { type Source } from '../../source/source.js';
import { brief, Fixture, note, upstreams } from './fixture.js';

/** One read to catch up and one write. */
const CALLS_OF_ACCEPTANCE = 2;
const MAX_TURNS = 10_000;

/** Notes `n0` to `n<count - 1>`, each adding one upstream. */
async function grow(fixture: Fixture, source: Source, count: number, from = 0): Promise<void> {
  for (let index = from; index < from + count; index++) {
    const added = note(`n${index}`, { add: upstreams(`u${index}`) });
    await source.submit(added, fixture.deadline);
    await source[Symbol.asyncDispose]();
  }
}

async function latest(fixture: Fixture): Promise<number | undefined> {
  const log = new Log(fixture.store);
  return (await new Snapshots(fixture.store, log).load(0, fixture.deadline))?.number;
}

/** A reader's replica once it has read all that the platform holds. */
async function startReader(fixture: Fixture): Promise<Replica> {
  const replica = new Replica();
  const snapshots = new Snapshots(fixture.store, fixture.log);
  const { log, clock } = fixture;
  const ranking = { isReader: true } as Ranking;
  const reader = new Reader(
    new LogFeed(log, snapshots, replica),
    replica,
    ranking,
    clock,
    new SeededRandom(1),
  );
  const stopping = new AbortController();
  const running = reader.run(stopping.signal);
  for (let step = 0; step < 100 && !reader.caughtUp; step++) await fixture.time.tickAsync(50);
  stopping.abort();
  await fixture.settled(running);
  return replica;
}

describe('Snapshots', () => {
  it('bound what a source and a reader read to start', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), 2 * SNAPSHOT_EVERY + 10);
    expect(await latest(fixture)).to.equal(2 * SNAPSHOT_EVERY);
    const before = fixture.store.calls.reads;
    const checked = await fixture
      .source()
      .check(note('x', { add: upstreams('x') }), 'submit', fixture.deadline);
    const bySource = fixture.store.calls.reads - before;
    const replica = await startReader(fixture);
    const byReader = fixture.store.calls.reads - before - bySource;
    expect(checked).to.have.property('head', 2 * SNAPSHOT_EVERY + 10);
    expect(replica.current.number).to.equal(2 * SNAPSHOT_EVERY + 10);
    expect({ bySource, byReader }).toMatchSnapshot();
  });

  it('leave notes from before them known, amendable and withdrawable', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), SNAPSHOT_EVERY + 1);
    const fresh = fixture.source();
    const answers = [
      await fresh.submit(note('n3', { add: upstreams('u3') }), fixture.deadline),
      await fresh.submit(note('n3', { add: upstreams('other') }), fixture.deadline),
      await fresh.amend(note('n3', { add: upstreams('u3', 'u3-more') }), fixture.deadline),
      await fresh.withdraw('n4', 'omar', fixture.deadline),
      await fresh.submit(
        note('late', { base: 1, change: { upstreams: [{ name: 'u5', about: 'x' }] } }),
        fixture.deadline,
      ),
    ];
    expect(answers.map(brief)).toMatchSnapshot();
  });

  // A publisher is paused for long after it has read the latest record, and wakes when others have
  // published later ones. It then tries to put its own in place. Were that to succeed, everyone
  // who starts would begin further back than the index of notes says.
  it('never go back, when a publisher wakes late', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await grow(fixture, source, SNAPSHOT_EVERY);
    const snapshots = new Snapshots(fixture.store, fixture.log);
    const old = await snapshots.load(0, fixture.deadline);
    await grow(fixture, source, SNAPSHOT_EVERY, SNAPSHOT_EVERY);
    const published = await snapshots.publish(old!, fixture.deadline);
    expect(published).to.equal(2 * SNAPSHOT_EVERY);
    expect(await latest(fixture)).to.equal(2 * SNAPSHOT_EVERY);
  });

  // The platform's value of one part is damaged. Whoever starts notices by the digest and replays
  // the log instead: slower, but nobody serves a configuration that was never accepted.
  it('are passed over if damaged', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), SNAPSHOT_EVERY + 2);
    const [part] = await fixture.store.list({ prefix: 'parts/' }, fixture.deadline);
    const damaged = part!.value.replace('"u1"', '"u?"');
    await fixture.store.update(part!.key, damaged, part!.revision, fixture.deadline);
    expect(await latest(fixture)).to.equal(undefined);
    const replica = await startReader(fixture);
    expect(replica.current.number).to.equal(SNAPSHOT_EVERY + 2);
    const repeated = await fixture
      .source()
      .submit(note('n0', { add: upstreams('u0') }), fixture.deadline);
    expect(brief(repeated)).to.include({ repeated: true, version: 1 });
  });

  // The platform takes versions but fails while a snapshot is published, at each of its calls in
  // turn. Operators see nothing of it. The snapshot in place stays whole, no note is forgotten
  // meanwhile, and a later acceptance publishes.
  it('stay whole when publishing fails at any call', async () => {
    // Of 67 calls: one for each index object, the latest record, one part, the record.
    for (const done of [4, 30, 64, 65, 66]) {
      using fixture = new Fixture();
      const source = fixture.source();
      await grow(fixture, source, SNAPSHOT_EVERY - 1);
      const before = callsOf(fixture) + CALLS_OF_ACCEPTANCE;
      await source.submit(note('due', { add: upstreams('due') }), fixture.deadline);
      for (let turn = 0; callsOf(fixture) < before + done; turn++) {
        if (turn > MAX_TURNS) expect.fail('the publisher ended before the fault');
        await Promise.resolve();
      }
      fixture.store.faults.down = true;
      await source[Symbol.asyncDispose]();
      fixture.store.faults.down = false;
      expect(await latest(fixture)).to.equal(undefined);
      const first = note('n0', { add: upstreams('u0') });
      const again = await fixture.source().submit(first, fixture.deadline);
      expect(brief(again)).to.include({ repeated: true, version: 1 });
      await grow(fixture, source, SNAPSHOT_EVERY, SNAPSHOT_EVERY);
      expect(await latest(fixture)).to.be.at.least(SNAPSHOT_EVERY);
    }
  });
});

function callsOf({ store }: Fixture): number {
  return store.calls.reads + store.calls.writes;
}

describe('Log', () => {
  it('stores a change that is longer than one value in parts', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    const about = 'x'.repeat(400);
    const names = Array.from({ length: 4_000 }, (_, index) => `u${index}`);
    const large = note('large', { add: { upstreams: names.map((name) => ({ name, about })) } });
    const accepted = await source.submit(large, fixture.deadline);
    const stored = await fixture.store.list({ prefix: 'parts/' }, fixture.deadline);
    const replica = await startReader(fixture);
    expect(brief(accepted)).to.include({ outcome: 'accepted', version: 1 });
    expect(stored).to.have.length.above(5);
    expect(replica.current.size).to.equal(4_000);
    const withdrawn = await fixture.source().withdraw('large', 'omar', fixture.deadline);
    expect(brief(withdrawn)).to.include({ outcome: 'accepted', version: 2 });
    expect(await fixture.held()).to.deep.equal([]);
  });
});
