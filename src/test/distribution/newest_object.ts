/** Stand-in for a source that holds nothing but the newest configuration. */
import { OutcomeError, type Resource, resourceKey } from '../../contracts.js';
import { Feed } from '../../distribution/feed.js';
import { type Replica } from '../../distribution/replica.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

const LOOK_EVERY_MS = 50;

/** Written by the operator; whoever looks too late never sees the versions between. */
export class NewestObject {
  number = 0;

  readonly #resources = new Map<string, Resource>();

  get resources(): readonly Resource[] {
    return [...this.#resources.values()];
  }

  /** Makes a version of what was there and `resources`; numbers rise in uneven steps. */
  write(resources: readonly Resource[], step = 1): void {
    for (const resource of resources) this.#resources.set(resourceKey(resource), resource);
    this.number += step;
  }
}

/** Follows the object, and takes up to `tardyMs` to read a version that it has heard of. */
export class TardyFeed extends Feed {
  constructor(
    private readonly object: NewestObject,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly isCut: () => boolean,
    private readonly tardyMs: number,
  ) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    await this.clock.sleepUntil(Math.min(deadline, this.clock.now() + LOOK_EVERY_MS));
    if (this.isCut()) {
      const props = { verdict: 'not-run', reason: 'unreachable' } as const;
      throw new OutcomeError('cut off from the object', props);
    }
    return this.#take();
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted && this.clock.now() < deadline) {
      await this.clock.sleepUntil(this.clock.now() + LOOK_EVERY_MS, signal);
      if (this.isCut() || this.object.number <= this.replica.current.number) continue;
      const wait = this.random.jitter(this.tardyMs);
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
