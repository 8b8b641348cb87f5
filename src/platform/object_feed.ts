/** Updates the replica from the operator's object in the store. */
import { type Clock } from '../runtime/clock.js';
import { OutcomeError } from '../contracts.js';
import { ABSENT, Feed } from '../distribution/feed.js';
import { type Replica } from '../distribution/replica.js';
import { OperatorObjectDecoder } from './operator_object.js';
import { HISTORY_GONE, type Platform, type Stored } from './platform.js';

const KIND = 'config';
const KEY = 'config/main';

export class ObjectFeed extends Feed {
  /**
   * A change that was refused is not waited for again: only a later one can replace it, and that one
   * has to be seen at once.
   */
  readonly repeatsRefused = false;

  readonly #objects = new OperatorObjectDecoder();

  /** Revision of the store after which changes are followed; undefined if its history is gone. */
  #asOf: number | undefined;

  constructor(
    private readonly platform: Platform,
    private readonly replica: Replica,
    private readonly clock: Clock,
  ) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    const { objects, asOf } = await this.platform.listKind(KIND, deadline);
    const main = objects.find(({ key }) => key === KEY);
    if (!main) throw absentError();
    this.#asOf = asOf;
    return this.#apply(main);
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    if (this.#asOf === undefined) return this.catchUp(deadline);
    try {
      const { changes, asOf } = await this.platform.waitForChanges(
        KIND,
        this.#asOf,
        deadline,
        signal,
      );
      const latest = changes.findLast(({ object, isDeleted }) => object.key === KEY && !isDeleted);
      this.#asOf = asOf;
      return latest ? this.#apply(latest.object) : true;
    } catch (error) {
      if (error instanceof OutcomeError && error.reason === HISTORY_GONE) this.#asOf = undefined;
      throw error;
    }
  }

  #apply({ value }: Stored): boolean {
    const { number, resources } = this.#objects.decode(value);
    if (number <= this.replica.current.number) return true;
    return this.replica.replace(number, resources, this.clock.now());
  }
}

function absentError(): OutcomeError {
  const props = { verdict: 'not-run', reason: ABSENT } as const;
  return new OutcomeError(`no configuration in the store yet: ${KEY} does not exist`, props);
}
