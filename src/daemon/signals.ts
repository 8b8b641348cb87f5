/** Signals: which ask a process to stop or to reload, and which must not end it. */
import { type Clock } from '../runtime/clock.js';

/** What a process does when it gets a signal; `none`: it only logs that. */
export type SignalAction = 'stop' | 'reload' | 'none';

/**
 * All signals that have an action of ours, or whose default effect is to end the process without a trace
 * in its log. `SIGUSR1` does not end it: Node opens its inspector on a port. Left out are signals
 * that report a fault of the process itself, such as `SIGSEGV`, and `SIGPROF`, which profilers use; Node
 * ignores `SIGPIPE` and `SIGXFSZ`. Those by which a terminal suspends a program (`SIGTSTP` and others) do so, and Node
 * cannot take over real-time signals. A platform that lacks one of these signals never sends it.
 */
const ACTIONS: Readonly<Partial<Record<NodeJS.Signals, SignalAction>>> = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGHUP: 'reload',
  SIGUSR1: 'none',
  SIGUSR2: 'none',
  SIGQUIT: 'none',
  SIGALRM: 'none',
  SIGVTALRM: 'none',
  SIGIO: 'none',
  SIGPWR: 'none',
  SIGSTKFLT: 'none',
  SIGXCPU: 'none',
};

export interface ReceivedSignal {
  readonly signal: NodeJS.Signals;
  readonly action: SignalAction;
  /** In milliseconds since the epoch. */
  readonly at: number;
}

/**
 * Takes over the signals of the process from the moment it is created, so that none of them has its default
 * effect: it would end the process at once, with all requests in flight. Signals overlap: settings change
 * while a process starts, and a machine is restarted while it is being removed. Create it before
 * anything else is loaded, since that takes a good part of a second on a busy machine.
 *
 * @example
 * ```ts
 * const signals = new Signals(clock);
 * signals.listen(({ signal, action, at }) => log.record('info', { event: 'signal', signal, action }, at));
 * await instance.stop((await signals.stopRequested) + settings.stopMs);
 * ```
 */
export class Signals {
  /** Resolves at the first request to stop to the time of it, in milliseconds since the epoch. */
  readonly stopRequested: Promise<number>;

  /** Signals that nobody has listened to yet. */
  readonly #early: ReceivedSignal[] = [];

  #listener = (signal: ReceivedSignal) => {
    this.#early.push(signal);
  };

  constructor(private readonly clock: Clock) {
    this.stopRequested = new Promise((resolve) => {
      for (const [name, action] of Object.entries(ACTIONS)) {
        process.on(name, (signal: NodeJS.Signals) => this.#receive(signal, action, resolve));
      }
    });
  }

  /** Passes on all signals from now on, and first those that have come before. */
  listen(listener: (signal: ReceivedSignal) => void): void {
    this.#listener = listener;
    this.#early.splice(0).forEach(listener);
  }

  #receive(signal: NodeJS.Signals, action: SignalAction, requestStop: (at: number) => void): void {
    const at = this.clock.now();
    if (action === 'stop') requestStop(at);
    this.#listener({ signal, action, at });
  }
}
