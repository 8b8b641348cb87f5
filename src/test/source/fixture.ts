/** Shared by the tests of acceptance: an in-memory platform and fake time. */
import { install } from '@sinonjs/fake-timers';
import { Configuration } from '../../configuration/configuration.js';
import { ReleaseNote, type ReleaseNoteInput, type VersionRecord } from '../../contracts.js';
import { type Platform } from '../../platform/platform.js';
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { VersionLog } from '../../source/log.js';
import { type Acceptance } from '../../source/acceptance.js';
import { VERSIONS_PER_SNAPSHOT } from '../../source/publisher.js';
import { Source } from '../../source/source.js';
import { PlatformStore } from '../../standins/platform_store.js';

export const START = Date.UTC(2026, 11, 2);
export const TIMEOUT_MS = 2_000;

export class Fixture implements Disposable {
  readonly time = install({
    now: START,
    toFake: ['Date', 'setTimeout', 'clearTimeout'],
  });

  readonly clock = new TimerClock();

  readonly store = new PlatformStore(this.clock);

  readonly log = new VersionLog(this.store);

  #seed = 0;

  get deadline(): number {
    return this.clock.now() + TIMEOUT_MS;
  }

  /** Creates another source over the same platform, as another process would have. */
  source(platform: Platform = this.store, snapshotEvery = VERSIONS_PER_SNAPSHOT): Source {
    this.#seed += 1;
    return new Source(platform, this.clock, new SeededRandom(this.#seed), snapshotEvery);
  }

  /** Advances the time until `promise` settles, and returns its result. */
  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const settled = promise.finally(() => {
      isSettled = true;
    });
    settled.catch(() => {});
    while (!isSettled) await this.time.tickAsync(50);
    return settled;
  }

  async records(): Promise<VersionRecord[]> {
    const records: VersionRecord[] = [];
    for (;;) {
      const page = await this.log.read(records.length, this.deadline);
      if (page.length === 0) return records;
      records.push(...page);
    }
  }

  /** Writes `count` versions without changes, as notes `filler-1`, `filler-2` and so on. */
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

  /** The resources of the latest version, as text. */
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

/** The first note of most tests: one upstream with one route. */
export const OPENING = note('opening', {
  add: {
    upstreams: [{ name: 'listings' }],
    routes: [{ name: 'menus', pathPrefix: '/menus', upstream: 'listings' }],
  },
});

export function upstreams(...names: string[]) {
  return { upstreams: names.map((name) => ({ name })) };
}

/** The fields of an answer that do not depend on digests and nonces. */
export function brief(acceptance: Acceptance) {
  if (acceptance.outcome !== 'accepted') return acceptance;
  const { record, ...rest } = acceptance;
  return { ...rest, version: record.version.number, action: record.action };
}
