/** The signal by which a process is asked to stop. */
import { type Clock } from '../runtime/clock.js';

const STOP_SIGNAL = 'SIGTERM';

/**
 * Takes over `SIGTERM` from the moment it is created, so that the signal never has its default effect: it
 * would end the process at once, with all requests in flight. Stops overlap: a machine is restarted
 * while it is being removed, and its process gets the signal again, or before it has started.
 *
 * @example
 * ```ts
 * const stopSignal = new StopSignal(clock);
 * await instance.stop((await stopSignal.received) + settings.stopMs);
 * ```
 */
export class StopSignal {
  /** Called for each signal after the first one. */
  onRepeat: () => void = () => {};

  /** Resolves at the first signal to the time of it, in milliseconds since the epoch. */
  readonly received: Promise<number>;

  #isReceived = false;

  constructor(private readonly clock: Clock) {
    this.received = new Promise((resolve) => {
      process.on(STOP_SIGNAL, () => this.#receive(resolve));
    });
  }

  #receive(resolve: (receivedAt: number) => void): void {
    if (this.#isReceived) this.onRepeat();
    this.#isReceived = true;
    resolve(this.clock.now());
  }
}
