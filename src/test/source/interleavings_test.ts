import { expect } from 'chai';
import fc from 'fast-check';
import { Configuration } from '../../configuration/configuration.js';
import { digestOf } from '../../configuration/digest.js';
import { validate } from '../../configuration/validate.js';
import { OutcomeError, type ReleaseNote } from '../../contracts.js';
import { type Acceptance } from '../../source/acceptance.js';
import { type Source } from '../../source/source.js';
import { brief, Fixture, note, TIMEOUT_MS } from './fixture.js';
import { type Step, UnsteadyPlatform } from './unsteady_platform.js';

const SEED = 20_261_202;
const RUNS = 200;
const SOURCES = 3;
/** Short enough that some proposals get no answer, in milliseconds. */
const SHORT_TIMEOUT_MS = 600;
/** Few, so that the runs include snapshots, trimmed heads and the index of notes. */
const VERSIONS_PER_SNAPSHOT = 3;

/** One proposal to one process whose calls to the platform may fail. */
interface Attempt {
  readonly at: number;
  readonly action: 'submit' | 'amend' | 'withdraw';
  readonly note: string;
  /** Resources of the note: an upstream, and optionally a route to another upstream. */
  readonly upstream: string;
  readonly routeTo: string | undefined;
  readonly steps: readonly Step[];
  /** Whether it runs concurrently with the previous attempt instead of after it. */
  readonly together: boolean;
  /** Whether the process is replaced first by one without any state in memory. */
  readonly restarted: boolean;
}

const name = fc.constantFrom('a', 'b', 'c');
const step: fc.Arbitrary<Step> = fc.record({
  behaviour: fc.constantFrom('ok', 'ok', 'ok', 'refused', 'lost', 'dropped', 'late'),
  delayMs: fc.constantFrom(0, 0, 5, 60, 300, 900),
});
const attempt: fc.Arbitrary<Attempt> = fc.record({
  at: fc.integer({ min: 0, max: SOURCES - 1 }),
  action: fc.constantFrom('submit', 'submit', 'amend', 'withdraw'),
  note: fc.constantFrom('n1', 'n2', 'n3', 'n4', 'n5'),
  upstream: name,
  routeTo: fc.option(name, { nil: undefined }),
  steps: fc.array(step, { maxLength: 12 }),
  together: fc.boolean(),
  restarted: fc.boolean(),
});

function noteOf({ note: id, upstream, routeTo }: Attempt): ReleaseNote {
  const routes = routeTo ? [{ name: id, pathPrefix: `/${id}`, upstream: routeTo }] : [];
  return note(id, { add: { upstreams: [{ name: upstream }], routes } });
}

/** The digest by which the log recognises a repeated proposal. */
function contentOf(given: Attempt): string {
  return digestOf(given.action === 'withdraw' ? { withdraw: given.note } : noteOf(given));
}

function propose(source: Source, given: Attempt, deadline: number): Promise<Acceptance> {
  if (given.action === 'withdraw') return source.withdraw(given.note, 'omar', deadline);
  return source[given.action](noteOf(given), deadline);
}

/** Processes over one platform, and the answers that their operators got. */
class Trial {
  readonly platforms: UnsteadyPlatform[];

  readonly sources: Source[];

  /** Accepted versions, as reported: number and nonce. */
  readonly reported = new Map<number, string>();

  /** Contents that were accepted, or may have been. */
  readonly possible = new Set<string>();

  #before: string[] = [];

  constructor(readonly fixture: Fixture) {
    this.platforms = Array.from(
      { length: SOURCES },
      () => new UnsteadyPlatform(fixture.store, fixture.clock),
    );
    this.sources = this.platforms.map((platform) =>
      fixture.source(platform, VERSIONS_PER_SNAPSHOT),
    );
  }

  async run(given: Attempt): Promise<void> {
    const platform = this.platforms[given.at]!;
    if (given.restarted)
      this.sources[given.at] = this.fixture.source(platform, VERSIONS_PER_SNAPSHOT);
    platform.steps.push(...given.steps);
    const content = contentOf(given);
    const deadline = this.fixture.clock.now() + SHORT_TIMEOUT_MS;
    try {
      const acceptance = await propose(this.sources[given.at]!, given, deadline);
      if (acceptance.outcome !== 'accepted') return;
      const { version, nonce } = acceptance.record;
      expect(this.reported.get(version.number) ?? nonce).to.equal(nonce);
      this.reported.set(version.number, nonce);
      this.possible.add(content);
    } catch (error) {
      if (!(error instanceof OutcomeError)) throw error;
      if (error.verdict === 'may-have-run') this.possible.add(content);
    }
  }

  /** Checks the invariants that must hold at any time. */
  async verify(): Promise<void> {
    const stored = await this.fixture.store.list({ prefix: 'versions/' }, this.fixture.deadline);
    const values = stored.map(({ value }) => value);
    expect(values.slice(0, this.#before.length)).to.deep.equal(this.#before);
    this.#before = values;
    const records = await this.fixture.records();
    let configuration = Configuration.empty;
    for (const { version } of records) {
      expect(version.parent).to.equal(configuration.digest);
      configuration = configuration.next(version.change);
      expect([version.number, version.digest]).to.deep.equal([
        configuration.number,
        configuration.digest,
      ]);
      expect(validate(configuration)).to.deep.equal([]);
    }
    const contents = records.map(({ version, content }) => `${version.note} ${content}`);
    expect(new Set(contents).size).to.equal(contents.length);
    const submitted = records.filter(({ action }) => action === 'submit');
    expect(new Set(submitted.map(({ version }) => version.note)).size).to.equal(submitted.length);
    for (const [number, nonce] of this.reported) expect(records[number - 1]?.nonce).to.equal(nonce);
  }

  /** Repeats all attempts without faults; each must now get a definite answer. */
  async repeatAll(attempts: readonly Attempt[]): Promise<void> {
    this.platforms.forEach((platform) => {
      platform.steps = [];
    });
    await this.fixture.time.tickAsync(2 * TIMEOUT_MS);
    for (const given of attempts) {
      const source = this.fixture.source(this.fixture.store, VERSIONS_PER_SNAPSHOT);
      const acceptance = await this.fixture.advanceUntilSettled(
        propose(source, given, this.fixture.deadline),
      );
      expect(brief(acceptance).outcome).to.be.oneOf(['accepted', 'refused', 'conflict']);
    }
  }
}

describe('Sources', () => {
  // Under any faults the log must stay one gapless chain of valid, unchanged records without a note
  // accepted twice, and must agree with every answer that an operator got.
  it('agree on one log under any interleaving of faults', async () => {
    const attempts = fc.array(attempt, { minLength: 2, maxLength: 12 });
    const property = fc.asyncProperty(attempts, async (given) => {
      using fixture = new Fixture();
      const trial = new Trial(fixture);
      let batch: Promise<void>[] = [];
      for (const one of given) {
        if (!one.together) await fixture.advanceUntilSettled(Promise.all(batch));
        if (!one.together) batch = [];
        batch.push(trial.run(one));
      }
      await fixture.advanceUntilSettled(Promise.all(batch));
      await fixture.time.tickAsync(2 * TIMEOUT_MS);
      await trial.verify();
      const stored = await fixture.records();
      for (const { content } of stored) expect([...trial.possible]).to.include(content);
      await trial.repeatAll(given);
      await trial.verify();
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(60_000);
});
