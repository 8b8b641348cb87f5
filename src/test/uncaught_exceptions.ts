/** Uncaught exceptions, which the test runner would take for the failure of a test. */
export class UncaughtExceptions implements Disposable {
  readonly errors: unknown[] = [];

  readonly #listeners = process.listeners('uncaughtException');

  /** Takes them from the test runner until disposed. */
  constructor() {
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', (error) => this.errors.push(error));
  }

  [Symbol.dispose](): void {
    process.removeAllListeners('uncaughtException');
    for (const listener of this.#listeners) process.on('uncaughtException', listener);
  }
}
