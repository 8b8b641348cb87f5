/** Warns before the heap of the process reaches its limit, at which V8 aborts the process. */
import { type Log } from '../logs/log.js';
import { heapUse } from './heap_use.js';

const SAMPLE_INTERVAL_MS = 1_000;
/** Share of the limit from which the heap is reported. */
const HIGH_SHARE = 0.8;
/** Share below which it may be reported again: it rises and falls with each collection. */
const NORMAL_SHARE = 0.6;

/** Logs once when the heap nears its limit, and again only after it has fallen. */
export class HeapWatch implements Disposable {
  #isHigh = false;

  readonly #timer: NodeJS.Timeout;

  constructor(
    private readonly log: Log,
    intervalMs: number = SAMPLE_INTERVAL_MS,
  ) {
    this.#timer = setInterval(() => this.#sample(), intervalMs).unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const use = heapUse();
    if (use.usedBytes < use.limitBytes * NORMAL_SHARE) this.#isHigh = false;
    if (this.#isHigh || use.usedBytes < use.limitBytes * HIGH_SHARE) return;
    this.#isHigh = true;
    this.log.record('warn', { event: 'heap-high', ...use });
  }
}
