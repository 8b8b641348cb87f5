/** The order in which work that waits for a slot is begun. */
import { type Queue } from 'p-queue';

type Run = () => Promise<unknown>;

/** A piece of work that waits. */
export interface Waiting {
  /** 0 to 9; higher goes first. */
  readonly priority: number;
  /** Instant until which an answer is of full use, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** How long it is expected to hold a slot, in milliseconds. */
  readonly heldMs: number;
  /** Whether it cannot be answered by then any more. */
  isLate: boolean;
}

/** What a job is added to the queue with. */
export interface WaitingOptions {
  readonly id?: string;
  readonly priority?: number;
  readonly waiting?: Waiting;
}

interface Element {
  readonly run: Run;
  readonly id: string | undefined;
  readonly waiting: Waiting;
}

/**
 * Work that can still be answered within its target goes before work that cannot, whatever came
 * first. When more comes than can be done, a line in order of arrival serves everybody just too
 * late; this one serves as many in time as there are slots for. Within each part the higher
 * priority goes first, then whoever has least time left, which is who was refused before and has
 * come back.
 */
export class WaitingLine implements Queue<Run, WaitingOptions> {
  readonly #elements: Element[] = [];

  #late = 0;

  get size(): number {
    return this.#elements.length;
  }

  /** How many wait that will be answered late. */
  get late(): number {
    return this.#late;
  }

  /** Time that the slots are held by what goes before `waiting`, together, in milliseconds. */
  heldAhead(waiting: Waiting): number {
    let sum = 0;
    for (const element of this.#elements) {
      if (isBefore(waiting, element.waiting)) break;
      sum += element.waiting.heldMs;
    }
    return sum;
  }

  /**
   * Moves what cannot be in time any more behind all that can. What waits for a named limit does
   * not stand here yet, and comes in as late.
   */
  demote(waiting: Waiting): void {
    waiting.isLate = true;
    const index = this.#elements.findIndex((element) => element.waiting === waiting);
    if (index < 0) return;
    const [element] = this.#elements.splice(index, 1);
    this.#insert(element!);
    this.#late += 1;
  }

  enqueue(run: Run, { id, waiting = UNCONCERNED }: WaitingOptions = {}): void {
    this.#insert({ run, id, waiting });
    if (waiting.isLate) this.#late += 1;
  }

  dequeue(): Run | undefined {
    const element = this.#elements.shift();
    if (element?.waiting.isLate) this.#late -= 1;
    return element?.run;
  }

  filter({ priority }: Readonly<WaitingOptions>): Run[] {
    const chosen = this.#elements.filter((element) => element.waiting.priority === priority);
    return chosen.map(({ run }) => run);
  }

  /** Called by the queue when a job is aborted while it waits. */
  remove(idOrRun: string | Run): void {
    const index = this.#elements.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
    if (index < 0) return;
    const [element] = this.#elements.splice(index, 1);
    if (element!.waiting.isLate) this.#late -= 1;
  }

  setPriority(): void {
    throw new Error('the order is decided by the work itself');
  }

  #insert(element: Element): void {
    const index = this.#elements.findIndex(({ waiting }) => isBefore(element.waiting, waiting));
    if (index < 0) this.#elements.push(element);
    else this.#elements.splice(index, 0, element);
  }
}

const UNCONCERNED: Waiting = { priority: 0, targetAt: Infinity, heldMs: 0, isLate: false };

function isBefore(one: Waiting, other: Waiting): boolean {
  if (one.isLate !== other.isLate) return other.isLate;
  if (one.priority !== other.priority) return one.priority > other.priority;
  return one.targetAt < other.targetAt;
}
