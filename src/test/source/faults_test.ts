import { expect } from 'chai';
import { OutcomeError, type ReleaseNote } from '../../contracts.js';
import { type Acceptance } from '../../source/acceptance.js';
import { brief, Fixture, note, OPENING, PATIENCE_MS, upstreams } from './fixture.js';
import { type Fate, UnsteadyPlatform } from './unsteady_platform.js';

/** A source whose next calls meet these fates: first it reads the log's snapshot, then the log. */
function unsteady(fixture: Fixture, ...fates: Fate[]) {
  const platform = new UnsteadyPlatform(fixture.store, fixture.clock);
  platform.steps = fates.map((fate) => ({ fate, delayMs: 1 }));
  return { platform, source: fixture.source(platform) };
}

/** What the operator is told, be it an answer or an error. */
async function told(fixture: Fixture, acceptance: Promise<Acceptance>): Promise<unknown> {
  try {
    return brief(await fixture.settled(acceptance));
  } catch (error) {
    if (!(error instanceof OutcomeError)) throw error;
    const { verdict, reason, message } = error;
    return { verdict, reason, message };
  }
}

const READS: Fate[] = ['ok', 'ok'];

describe('Source under faults', () => {
  // The write of a version takes effect, but its answer is lost on the way back. The operator waits
  // a moment longer and sees the note accepted, once, because the record is read back.
  it('settles a lost answer by reading back', async () => {
    using fixture = new Fixture();
    const { source } = unsteady(fixture, ...READS, 'lost');
    expect(await told(fixture, source.submit(OPENING, fixture.deadline))).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(1);
  });

  // The write is dropped, or delivered seconds later, and either way nothing is heard of it. The
  // source finds no record and writes the same again. The late one then meets a number taken.
  for (const fate of ['dropped', 'late'] as const) {
    it(`sends a write again that was ${fate}`, async () => {
      using fixture = new Fixture();
      const { source } = unsteady(fixture, ...READS, fate);
      expect(await told(fixture, source.submit(OPENING, fixture.deadline))).toMatchSnapshot();
      await fixture.time.tickAsync(5_000);
      expect(await fixture.records()).to.have.length(1);
    });
  }

  // The write takes effect, its answer is lost, and the platform is gone until after the deadline.
  // The operator is told that it may have been accepted, hands the same in again, and learns that
  // it was.
  it('says that it cannot tell, and can tell when asked again', async () => {
    using fixture = new Fixture();
    const { source, platform } = unsteady(fixture, ...READS, 'lost');
    const submitted = told(fixture, source.submit(OPENING, fixture.deadline));
    platform.steps.push(
      ...Array<{ fate: Fate; delayMs: number }>(200).fill({ fate: 'refused', delayMs: 20 }),
    );
    const first = await submitted;
    platform.steps = [];
    const again = await told(fixture, source.submit(OPENING, fixture.deadline));
    expect([first, again]).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(1);
  });

  // The platform is down, or slower than the operator waits, before anything was written. The
  // operator is told that the note was not accepted, and nothing of it is in the platform.
  for (const [name, faults] of Object.entries({ down: { down: true }, slow: { slowMs: 60_000 } })) {
    it(`says that nothing was accepted while the platform is ${name}`, async () => {
      using fixture = new Fixture();
      Object.assign(fixture.store.faults, faults);
      const source = fixture.source();
      const answer = await told(fixture, source.submit(OPENING, fixture.deadline));
      Object.assign(fixture.store.faults, { down: false, slowMs: 0 });
      expect(answer).toMatchSnapshot();
      expect(await fixture.store.list({ prefix: '' }, fixture.deadline)).to.deep.equal([]);
    });
  }

  // A change over the value limit is stored in parts first, and the platform fails in between. The
  // parts put nothing in force, so the operator hears that the note was not accepted.
  it('says that nothing was accepted when only parts were written', async () => {
    using fixture = new Fixture();
    const { source } = unsteady(fixture, ...READS, 'ok', 'lost');
    const about = 'x'.repeat(1_000);
    const names = Array.from({ length: 600 }, (_, index) => `u${index}`);
    const large = note('large', { add: { upstreams: names.map((name) => ({ name, about })) } });
    expect(await told(fixture, source.submit(large, fixture.deadline))).toMatchSnapshot();
    expect(await fixture.records()).to.deep.equal([]);
  });

  // A writer is paused just before its write and wakes when another note is in force. Its number
  // is taken, so it starts over on the new head: accepted if the resources are disjoint, a typed
  // conflict if they are not, and if its operator has given up by then, nothing at all.
  const late: Record<string, { rival: ReleaseNote; pausedMs: number }> = {
    'on disjoint resources': {
      rival: note('rival', { add: upstreams('bookings') }),
      pausedMs: 500,
    },
    'on the same resources': {
      rival: note('rival', { add: upstreams('listings') }),
      pausedMs: 500,
    },
    'after its deadline': {
      rival: note('rival', { add: upstreams('bookings') }),
      pausedMs: 2 * PATIENCE_MS,
    },
  };
  for (const [name, { rival, pausedMs }] of Object.entries(late)) {
    it(`lets a paused writer do no harm that wakes late ${name}`, async () => {
      using fixture = new Fixture();
      const { source, platform } = unsteady(fixture);
      const step = { fate: 'ok', delayMs: 1 } as const;
      platform.steps = [step, step, { fate: 'ok', delayMs: pausedMs }];
      const paused = source.submit(OPENING, fixture.deadline);
      await fixture.time.tickAsync(100);
      await fixture.source().submit(rival, fixture.deadline);
      expect(await told(fixture, paused)).toMatchSnapshot();
      const notes = (await fixture.records()).map(({ version }) => version.note);
      expect(notes).to.deep.equal(
        pausedMs < 1_000 && name.includes('disjoint') ? ['rival', 'opening'] : ['rival'],
      );
    });
  }

  // Two operators hand in notes at the same moment, at two processes. Both create the same number;
  // the platform admits one. The other is rebased where the two touch disjoint resources and the
  // outcome validates; else it is refused, by resource or by path.
  const races: Record<string, [ReleaseNote, ReleaseNote]> = {
    'disjoint notes': [note('a', { add: upstreams('a') }), note('b', { add: upstreams('b') })],
    'the same resource': [note('a', { add: upstreams('a') }), note('b', { add: upstreams('a') })],
    'a route to an upstream that goes': [
      note('a', { withdraw: { routes: ['menus'], upstreams: ['listings'] } }),
      note('b', { add: { routes: [{ name: 'b', pathPrefix: '/b', upstream: 'listings' }] } }),
    ],
    'the same note twice': [note('a', { add: upstreams('a') }), note('a', { add: upstreams('a') })],
  };
  for (const [name, [first, second]] of Object.entries(races)) {
    it(`decides a race between ${name}`, async () => {
      using fixture = new Fixture();
      await fixture.source().submit(OPENING, fixture.deadline);
      const racers = [unsteady(fixture, ...READS, 'ok'), unsteady(fixture, ...READS, 'ok')];
      const [one, other] = racers.map(({ source }, index) =>
        source.submit(index === 0 ? first : second, fixture.deadline),
      );
      expect([await told(fixture, one!), await told(fixture, other!)]).toMatchSnapshot();
    });
  }
});
