/** Processes that keep the machine busy beside a run, so that starts and steps take longer. */
import { Program } from '../bench/processes.js';
import { ResourceStack } from '../runtime/resource_stack.js';

/** They end by themselves some time after the run, in case that nobody ends them. */
const MARGIN_MS = 120_000;

export class BusyProcesses implements AsyncDisposable {
  readonly #resources = new ResourceStack();

  constructor(
    readonly count: number,
    runMs: number,
  ) {
    const code = `const end = Date.now() + ${runMs + MARGIN_MS}; while (Date.now() < end);`;
    for (let index = 0; index < count; index++)
      this.#resources.use(Program.launch(`busy-${index}`, ['-e', code], '.', {}));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#resources[Symbol.asyncDispose]();
  }
}
