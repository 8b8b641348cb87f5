/** Stand-in for a source that only holds the newest configuration. */
import { OutcomeError, type Resource, resourceKey } from '../../contracts.js';
import { Feed } from '../../distribution/feed.js';
import { type Replica } from '../../distribution/replica.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

const POLL_INTERVAL_MS = 50;

/** The object that an operator writes. Readers that poll too late miss the versions in between. */
export class NewestObject {
  number = 0;

  readonly #resources = new Map<string, Resource>();

  get resources(): readonly Resource[] {
    return [...this.#resources.values()];
  }

  /** Adds or replaces `resources` and increases the version number by `step`. */
  write(resources: readonly Resource[], step = 1): void {
    for (const resource of resources) this.#resources.set(resourceKey(resource), resource);
    this.number += step;
  }
}

/** Polls the object, and takes up to `maxReadMs` to read a version after noticing it. */
export class SlowFeed extends Feed {
  readonly repeatsRefused = false;

  constructor(
    private readonly object: NewestObject,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly isCut: () => boolean,
    private readonly maxReadMs: number,
  ) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    await this.clock.sleepUntil(Math.min(deadline, this.clock.now() + POLL_INTERVAL_MS));
    if (this.isCut()) {
      const props = { verdict: 'not-run', reason: 'unreachable' } as const;
      throw new OutcomeError('cut off from the object', props);
    }
    return this.#take();
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted && this.clock.now() < deadline) {
      await this.clock.sleepUntil(this.clock.now() + POLL_INTERVAL_MS, signal);
      if (this.isCut() || this.object.number <= this.replica.current.number) continue;
      const wait = this.random.jitter(this.maxReadMs);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      return this.isCut() || this.#take();
    }
    return true;
  }

  #take(): boolean {
    const { number, resources } = this.object;
    if (number <= this.replica.current.number) return true;
    return this.replica.replace(number, resources, this.clock.now());
  }
}
