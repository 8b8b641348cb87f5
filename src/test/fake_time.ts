import { type Clock as FakeTimers, install } from '@sinonjs/fake-timers';
import { type Clock, TimerClock } from '../runtime/clock.js';

const START = Date.UTC(2026, 11, 1);

/** Fake timers that settle pending promises after each timer. */
export class FakeTime implements Disposable {
  readonly clock: Clock = new TimerClock();

  readonly #timers: FakeTimers = install({
    now: START,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'],
  });

  async advance(ms: number): Promise<void> {
    let ended = false;
    this.#timers.setTimeout(() => {
      ended = true;
    }, ms);
    await runMicrotasks();
    while (!ended) {
      this.#timers.next();
      await runMicrotasks();
    }
  }

  /** Advances until `condition` holds; false if it does not within `ms`. */
  async until(condition: () => boolean, ms: number, stepMs = 10): Promise<boolean> {
    const deadline = this.clock.now() + ms;
    while (!condition() && this.clock.now() < deadline) await this.advance(stepMs);
    return condition();
  }

  [Symbol.dispose](): void {
    this.#timers.uninstall();
  }
}

function runMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
