import { expect } from 'chai';
import { OutcomeError, type ReleaseNote } from '../../contracts.js';
import { type Acceptance } from '../../source/acceptance.js';
import { brief, Fixture, note, OPENING, TIMEOUT_MS, upstreams } from './fixture.js';
import { type Behaviour, UnsteadyPlatform } from './unsteady_platform.js';

/** A source whose next calls behave like this; it reads the snapshot first, then the log. */
function unsteady(fixture: Fixture, ...behaviours: Behaviour[]) {
  const platform = new UnsteadyPlatform(fixture.store, fixture.clock);
  platform.steps = behaviours.map((behaviour) => ({ behaviour, delayMs: 1 }));
  return { platform, source: fixture.source(platform) };
}

/** The answer or error that the operator gets. */
async function answerTo(fixture: Fixture, acceptance: Promise<Acceptance>): Promise<unknown> {
  try {
    return brief(await fixture.advanceUntilSettled(acceptance));
  } catch (error) {
    if (!(error instanceof OutcomeError)) throw error;
    const { verdict, reason, message } = error;
    return { verdict, reason, message };
  }
}

const READS: Behaviour[] = ['ok', 'ok'];

describe('Source under faults', () => {
  // The write of a version takes effect, but its answer is lost. Without reading the record back,
  // the note would be reported as not accepted or be accepted twice.
  it('resolves a lost answer by reading the record back', async () => {
    using fixture = new Fixture();
    const { source } = unsteady(fixture, ...READS, 'lost');
    expect(await answerTo(fixture, source.submit(OPENING, fixture.deadline))).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(1);
  });

  // The write is dropped, or takes effect seconds later, without an answer. The source finds no
  // record and resends the write; the late one must not create a second version.
  for (const behaviour of ['dropped', 'late'] as const) {
    it(`resends a write that was ${behaviour}`, async () => {
      using fixture = new Fixture();
      const { source } = unsteady(fixture, ...READS, behaviour);
      expect(await answerTo(fixture, source.submit(OPENING, fixture.deadline))).toMatchSnapshot();
      await fixture.time.tickAsync(5_000);
      expect(await fixture.records()).to.have.length(1);
    });
  }

  // The write takes effect, its answer is lost, and the platform is down until after the deadline.
  // The source must not claim either result; submitting the note again must not accept it twice.
  it('reports an unknown result, and the result when the note is submitted again', async () => {
    using fixture = new Fixture();
    const { source, platform } = unsteady(fixture, ...READS, 'lost');
    const submitted = answerTo(fixture, source.submit(OPENING, fixture.deadline));
    platform.steps.push(
      ...Array<{ behaviour: Behaviour; delayMs: number }>(200).fill({
        behaviour: 'refused',
        delayMs: 20,
      }),
    );
    const first = await submitted;
    platform.steps = [];
    const again = await answerTo(fixture, source.submit(OPENING, fixture.deadline));
    expect([first, again]).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(1);
  });

  // The platform is down, or slower than the deadline, before anything was written. The answer must
  // be a definite not-run, and nothing of the note may be stored.
  for (const [name, faults] of Object.entries({ down: { down: true }, slow: { slowMs: 60_000 } })) {
    it(`reports that nothing was accepted while the platform is ${name}`, async () => {
      using fixture = new Fixture();
      Object.assign(fixture.store.faults, faults);
      const source = fixture.source();
      const answer = await answerTo(fixture, source.submit(OPENING, fixture.deadline));
      Object.assign(fixture.store.faults, { down: false, slowMs: 0 });
      expect(answer).toMatchSnapshot();
      expect(await fixture.store.list({ prefix: '' }, fixture.deadline)).to.deep.equal([]);
    });
  }

  // The platform fails after the parts of a large change were stored and before its record. Parts
  // alone have no effect, so the answer must be not-run rather than may-have-run.
  it('reports that nothing was accepted when only parts were written', async () => {
    using fixture = new Fixture();
    const { source } = unsteady(fixture, ...READS, 'ok', 'lost');
    const about = 'x'.repeat(1_000);
    const names = Array.from({ length: 600 }, (_, index) => `u${index}`);
    const large = note('large', { add: { upstreams: names.map((name) => ({ name, about })) } });
    expect(await answerTo(fixture, source.submit(large, fixture.deadline))).toMatchSnapshot();
    expect(await fixture.records()).to.deep.equal([]);
  });

  // A writer is paused right before its write while another note takes its number. It must decide
  // again on the new head: accept disjoint resources, report a conflict, or stop at its deadline.
  const lateWriters: Record<string, { rival: ReleaseNote; pausedMs: number }> = {
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
      pausedMs: 2 * TIMEOUT_MS,
    },
  };
  for (const [name, { rival, pausedMs }] of Object.entries(lateWriters)) {
    it(`decides again for a paused writer that resumes late ${name}`, async () => {
      using fixture = new Fixture();
      const { source, platform } = unsteady(fixture);
      const step = { behaviour: 'ok', delayMs: 1 } as const;
      platform.steps = [step, step, { behaviour: 'ok', delayMs: pausedMs }];
      const paused = source.submit(OPENING, fixture.deadline);
      await fixture.time.tickAsync(100);
      await fixture.source().submit(rival, fixture.deadline);
      expect(await answerTo(fixture, paused)).toMatchSnapshot();
      const notes = (await fixture.records()).map(({ version }) => version.note);
      expect(notes).to.deep.equal(
        pausedMs < 1_000 && name.includes('disjoint') ? ['rival', 'opening'] : ['rival'],
      );
    });
  }

  // Two processes create the same version number at once. The loser must be rebased if
  // resources are disjoint and the result is valid, and otherwise refused by resource or by path.
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
      expect([await answerTo(fixture, one!), await answerTo(fixture, other!)]).toMatchSnapshot();
    });
  }
});
