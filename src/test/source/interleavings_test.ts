import { expect } from 'chai';
import fc from 'fast-check';
import { Configuration } from '../../configuration/configuration.js';
import { digestOf } from '../../configuration/digest.js';
import { validate } from '../../configuration/validate.js';
import { OutcomeError, type ReleaseNote } from '../../contracts.js';
import { type Acceptance } from '../../source/acceptance.js';
import { type Source } from '../../source/source.js';
import { brief, Fixture, note, PATIENCE_MS } from './fixture.js';
import { type Step, UnsteadyPlatform } from './unsteady_platform.js';

const SEED = 20_261_202;
const RUNS = 200;
const SOURCES = 3;
/** Short enough that some operators are left without an answer, in milliseconds. */
const HASTE_MS = 600;
/** Few, so that the runs see snapshots, trimmed heads and the index of notes. */
const SNAPSHOT_EVERY = 3;

/** One note handed in at one process while its platform misbehaves. */
interface Attempt {
  readonly at: number;
  readonly action: 'submit' | 'amend' | 'withdraw';
  readonly note: string;
  /** Resources of the note: an upstream, and perhaps a route that leads to another one. */
  readonly upstream: string;
  readonly routeTo: string | undefined;
  readonly steps: readonly Step[];
  /** It is handed in together with the one before, not after it. */
  readonly together: boolean;
  /** The process is replaced first, and knows nothing. */
  readonly restarted: boolean;
}

const name = fc.constantFrom('a', 'b', 'c');
const step: fc.Arbitrary<Step> = fc.record({
  fate: fc.constantFrom('ok', 'ok', 'ok', 'refused', 'lost', 'dropped', 'late'),
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

/** As the log tells one thing handed in from another. */
function contentOf(given: Attempt): string {
  return digestOf(given.action === 'withdraw' ? { withdraw: given.note } : noteOf(given));
}

function handIn(source: Source, given: Attempt, deadline: number): Promise<Acceptance> {
  if (given.action === 'withdraw') return source.withdraw(given.note, 'omar', deadline);
  return source[given.action](noteOf(given), deadline);
}

/** Processes over one platform, and what their operators were told. */
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
    this.sources = this.platforms.map((platform) => fixture.source(platform, SNAPSHOT_EVERY));
  }

  async run(given: Attempt): Promise<void> {
    const platform = this.platforms[given.at]!;
    if (given.restarted) this.sources[given.at] = this.fixture.source(platform, SNAPSHOT_EVERY);
    platform.steps.push(...given.steps);
    const content = contentOf(given);
    const deadline = this.fixture.clock.now() + HASTE_MS;
    try {
      const acceptance = await handIn(this.sources[given.at]!, given, deadline);
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

  /** Checks what must hold at every moment. */
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

  /** Hands everything in again while nothing misbehaves: each is now decided. */
  async settle(attempts: readonly Attempt[]): Promise<void> {
    this.platforms.forEach((platform) => {
      platform.steps = [];
    });
    await this.fixture.time.tickAsync(2 * PATIENCE_MS);
    for (const given of attempts) {
      const source = this.fixture.source(this.fixture.store, SNAPSHOT_EVERY);
      const acceptance = await this.fixture.settled(handIn(source, given, this.fixture.deadline));
      expect(brief(acceptance).outcome).to.be.oneOf(['accepted', 'refused', 'conflict']);
    }
  }
}

describe('Sources', () => {
  // Several processes take notes at once while each one's calls to the platform are refused, lost,
  // dropped, late or slow, and processes are replaced. Whatever comes, the log is one gapless
  // chain of valid configurations, no record changes, no note is accepted twice, and what an
  // operator was told to be accepted stays so; what was told not to be accepted is not there.
  it('agree on one log under any interleaving of faults', async () => {
    const attempts = fc.array(attempt, { minLength: 2, maxLength: 12 });
    const property = fc.asyncProperty(attempts, async (given) => {
      using fixture = new Fixture();
      const trial = new Trial(fixture);
      let batch: Promise<void>[] = [];
      for (const one of given) {
        if (!one.together) await fixture.settled(Promise.all(batch));
        if (!one.together) batch = [];
        batch.push(trial.run(one));
      }
      await fixture.settled(Promise.all(batch));
      await fixture.time.tickAsync(2 * PATIENCE_MS);
      await trial.verify();
      const stored = await fixture.records();
      for (const { content } of stored) expect([...trial.possible]).to.include(content);
      await trial.settle(given);
      await trial.verify();
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(60_000);
});
