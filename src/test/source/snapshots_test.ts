import { expect } from 'chai';
import { Replica } from '../../distribution/replica.js';
import { Reader } from '../../distribution/reader.js';
import { SeededRandom } from '../../runtime/random.js';
import { soleReader } from '../../standins/sole_reader.js';
import { VersionLog } from '../../source/log.js';
import { LogFeed } from '../../source/log_feed.js';
import { VERSIONS_PER_SNAPSHOT } from '../../source/publisher.js';
import { Snapshots } from '../../source/snapshots.js';
import { type Source } from '../../source/source.js';
import { brief, Fixture, note, upstreams } from './fixture.js';

/** Calls of one acceptance: a read to catch up and a write. */
const CALLS_OF_ACCEPTANCE = 2;
const MAX_TURNS = 10_000;

/** Accepts `count` notes from `n<from>` on, each adding one upstream. */
async function grow(fixture: Fixture, source: Source, count: number, from = 0): Promise<void> {
  for (let index = from; index < from + count; index++) {
    const added = note(`n${index}`, { add: upstreams(`u${index}`) });
    await source.submit(added, fixture.deadline);
    await source[Symbol.asyncDispose]();
  }
}

async function latest(fixture: Fixture): Promise<number | undefined> {
  const log = new VersionLog(fixture.store);
  return (await new Snapshots(fixture.store, log).load(0, fixture.deadline))?.number;
}

/** Starts a reader and returns its replica once it has caught up. */
async function startReader(fixture: Fixture): Promise<Replica> {
  const replica = new Replica();
  const snapshots = new Snapshots(fixture.store, fixture.log);
  const { log, clock } = fixture;
  const reader = new Reader(
    new LogFeed(log, snapshots, replica),
    replica,
    soleReader(clock),
    clock,
    new SeededRandom(1),
  );
  const stopping = new AbortController();
  const running = reader.run(stopping.signal);
  for (let step = 0; step < 100 && !reader.caughtUp; step++) await fixture.time.tickAsync(50);
  stopping.abort();
  await fixture.advanceUntilSettled(running);
  return replica;
}

describe('Snapshots', () => {
  it('limit the reads that a source and a reader need to start', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), 2 * VERSIONS_PER_SNAPSHOT + 10);
    expect(await latest(fixture)).to.equal(2 * VERSIONS_PER_SNAPSHOT);
    const before = fixture.store.calls.reads;
    const checked = await fixture
      .source()
      .check(note('x', { add: upstreams('x') }), 'submit', fixture.deadline);
    const bySource = fixture.store.calls.reads - before;
    const replica = await startReader(fixture);
    const byReader = fixture.store.calls.reads - before - bySource;
    expect(checked).to.have.property('head', 2 * VERSIONS_PER_SNAPSHOT + 10);
    expect(replica.current.number).to.equal(2 * VERSIONS_PER_SNAPSHOT + 10);
    expect({ bySource, byReader }).toMatchSnapshot();
  });

  it('keep notes accepted before them known, amendable and withdrawable', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), VERSIONS_PER_SNAPSHOT + 1);
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

  // A publisher is paused and resumes after later snapshots were published. If it replaced them,
  // starting processes would begin further back than the index of notes assumes.
  it('are not replaced by an older one when a publisher resumes late', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await grow(fixture, source, VERSIONS_PER_SNAPSHOT);
    const snapshots = new Snapshots(fixture.store, fixture.log);
    const old = await snapshots.load(0, fixture.deadline);
    await grow(fixture, source, VERSIONS_PER_SNAPSHOT, VERSIONS_PER_SNAPSHOT);
    const published = await snapshots.publish(old!, fixture.deadline);
    expect(published).to.equal(2 * VERSIONS_PER_SNAPSHOT);
    expect(await latest(fixture)).to.equal(2 * VERSIONS_PER_SNAPSHOT);
  });

  // A stored part is damaged. A starting process must notice that by the digest and replay the log,
  // or it would serve a configuration that was never accepted.
  it('are ignored if damaged', async () => {
    using fixture = new Fixture();
    await grow(fixture, fixture.source(), VERSIONS_PER_SNAPSHOT + 2);
    const [part] = await fixture.store.list({ prefix: 'parts/' }, fixture.deadline);
    const damaged = part!.value.replace('"u1"', '"u?"');
    await fixture.store.update(part!.key, damaged, part!.revision, fixture.deadline);
    expect(await latest(fixture)).to.equal(undefined);
    const replica = await startReader(fixture);
    expect(replica.current.number).to.equal(VERSIONS_PER_SNAPSHOT + 2);
    const repeated = await fixture
      .source()
      .submit(note('n0', { add: upstreams('u0') }), fixture.deadline);
    expect(brief(repeated)).to.include({ repeated: true, version: 1 });
  });

  // The platform fails at some call of a publication. The stored snapshot must stay intact, no note
  // may be forgotten, and a later acceptance must publish.
  it('stay intact when publishing fails at any call', async () => {
    // The 67 calls are one per index object, one read of the record, one part and the new record.
    for (const done of [4, 30, 64, 65, 66]) {
      using fixture = new Fixture();
      const source = fixture.source();
      await grow(fixture, source, VERSIONS_PER_SNAPSHOT - 1);
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
      await grow(fixture, source, VERSIONS_PER_SNAPSHOT, VERSIONS_PER_SNAPSHOT);
      expect(await latest(fixture)).to.be.at.least(VERSIONS_PER_SNAPSHOT);
    }
  });
});

function callsOf({ store }: Fixture): number {
  return store.calls.reads + store.calls.writes;
}

describe('Log', () => {
  it('stores a change in parts if it is too long for one value', async () => {
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
