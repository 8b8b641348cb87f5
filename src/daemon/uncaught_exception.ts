/** Ends the process after an uncaught exception, with the cause as the last line of its log. */
import { type Log, SilentLog } from '../logs/log.js';
import { type Clock, MachineClock } from '../runtime/clock.js';
import { EXIT_FAULT } from './exit.js';
import { type End, endOf, writeLastLine } from './last_line.js';

/** How long requests in flight may take after an exception, in milliseconds. */
const STOP_TIMEOUT_MS = 3_000;
/** Time after that until the process exits although its stop has not ended, in milliseconds. */
const EXIT_MARGIN_MS = 1_000;
/** Exceptions that are logged; one that is thrown by a timer may be thrown again and again. */
const MAX_LOGGED = 10;

/**
 * The end of a process after an uncaught exception or unhandled rejection. By default Node would cut all
 * requests in flight and print a stack to standard error, with a position in the bundle and no time.
 * It goes before a stop that was requested before or meanwhile: what that would still serve is refused.
 */
export class FaultExit {
  /** Gets a line for each exception while the process stops; its lines are written before the last one. */
  log: Log = new SilentLog();

  /**
   * Stops what has been started, by a deadline in milliseconds since the epoch. Until it is set, the
   * process exits at once.
   */
  stop: ((deadline: number) => Promise<void>) | undefined;

  #count = 0;

  constructor(
    private readonly instance: string,
    private readonly clock: Clock = new MachineClock(),
  ) {}

  /** Begins the end of the process; an exception after the first one does not prolong it. */
  handle(error: unknown, origin: string): void {
    const end = endOf(origin, error);
    this.#count += 1;
    const isFirst = this.#count === 1;
    if (isFirst) this.#setLastLine(end);
    if (!this.stop) exit();
    if (this.#count <= MAX_LOGGED) this.log.record('warn', { event: 'uncaught', ...end });
    if (isFirst) this.#stopAndExit(this.stop).catch(exit);
  }

  /** Also holds if the process exits in another way meanwhile, as after a signal to stop. */
  #setLastLine(end: End): void {
    process.once('exit', () => {
      process.exitCode = EXIT_FAULT;
      writeLastLine(this.instance, end, this.log);
    });
  }

  async #stopAndExit(stop: (deadline: number) => Promise<void>): Promise<void> {
    setTimeout(exit, STOP_TIMEOUT_MS + EXIT_MARGIN_MS);
    try {
      await stop(this.clock.now() + STOP_TIMEOUT_MS);
    } finally {
      exit();
    }
  }
}

function exit(): never {
  // eslint-disable-next-line n/no-process-exit -- timers and sockets may be left open
  process.exit(EXIT_FAULT);
}

/** Logs uncaught exceptions and unhandled rejections, and exits with `EXIT_FAULT` after the first. */
export function exitOnUncaughtException(instance: string): FaultExit {
  const faultExit = new FaultExit(instance);
  process.on('uncaughtException', (error: unknown, origin) => faultExit.handle(error, origin));
  return faultExit;
}
