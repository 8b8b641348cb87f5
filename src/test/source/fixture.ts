/** What the tests of acceptance share: a platform in memory and time that only tests move. */
import { install } from '@sinonjs/fake-timers';
import { Configuration } from '../../configuration/configuration.js';
import { ReleaseNote, type ReleaseNoteInput, type VersionRecord } from '../../contracts.js';
import { type Platform } from '../../platform/platform.js';
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { Log } from '../../source/log.js';
import { type Acceptance } from '../../source/acceptance.js';
import { SNAPSHOT_EVERY } from '../../source/publisher.js';
import { Source } from '../../source/source.js';
import { PlatformStore } from '../../standins/platform_store.js';

export const START = Date.UTC(2026, 11, 2);
export const PATIENCE_MS = 2_000;

export class Fixture implements Disposable {
  readonly time = install({
    now: START,
    toFake: ['Date', 'setTimeout', 'clearTimeout'],
  });

  readonly clock = new TimerClock();

  readonly store = new PlatformStore(this.clock);

  readonly log = new Log(this.store);

  #seed = 0;

  get deadline(): number {
    return this.clock.now() + PATIENCE_MS;
  }

  /** Another source over the same platform, as in another process. */
  source(platform: Platform = this.store, snapshotEvery = SNAPSHOT_EVERY): Source {
    this.#seed += 1;
    return new Source(platform, this.clock, new SeededRandom(this.#seed), snapshotEvery);
  }

  /** The outcome of `promise`, with time moved on for as long as it takes. */
  async settled<T>(promise: Promise<T>): Promise<T> {
    let isOver = false;
    const over = promise.finally(() => {
      isOver = true;
    });
    over.catch(() => {});
    while (!isOver) await this.time.tickAsync(50);
    return over;
  }

  async records(): Promise<VersionRecord[]> {
    const records: VersionRecord[] = [];
    for (;;) {
      const page = await this.log.read(records.length, this.deadline);
      if (page.length === 0) return records;
      records.push(...page);
    }
  }

  /** Writes so many versions that change nothing, as notes `filler-1` and on. */
  async fill(count: number): Promise<void> {
    let configuration = Configuration.empty;
    const change = { put: [], remove: [] };
    for (let index = 1; index <= count; index++) {
      const parent = configuration.digest;
      configuration = configuration.next(change);
      const { number, digest } = configuration;
      const name = `filler-${index}`;
      const version = { number, parent, digest, note: name, acceptedAt: START, change };
      const rest = { action: 'submit', author: 'dana', nonce: name, content: digest } as const;
      await this.log.append({ version, ...rest, undo: change }, this.deadline);
    }
  }

  /** Names of the resources held after the last version. */
  async held(): Promise<string[]> {
    let configuration = Configuration.empty;
    for (const { version } of await this.records())
      configuration = configuration.next(version.change);
    return configuration
      .resources()
      .map(({ kind, name, ...rest }) => `${kind}/${name} ${JSON.stringify(rest)}`);
  }

  [Symbol.dispose](): void {
    this.time.uninstall();
  }
}

export function note(id: string, sections: Partial<ReleaseNoteInput>): ReleaseNote {
  return ReleaseNote.parse({ id, author: 'dana', ...sections });
}

/** The note that the others build on: one upstream with one route. */
export const OPENING = note('opening', {
  add: {
    upstreams: [{ name: 'listings' }],
    routes: [{ name: 'menus', pathPrefix: '/menus', upstream: 'listings' }],
  },
});

export function upstreams(...names: string[]) {
  return { upstreams: names.map((name) => ({ name })) };
}

/** The parts of an answer that do not hang on digests and nonces. */
export function brief(acceptance: Acceptance) {
  if (acceptance.outcome !== 'accepted') return acceptance;
  const { record, ...rest } = acceptance;
  return { ...rest, version: record.version.number, action: record.action };
}
