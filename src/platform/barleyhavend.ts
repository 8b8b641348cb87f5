/** Entry file of the process that runs on the operators' platform; `start.ts` loads what is built of it. */
import { EXIT_SETTINGS } from '../daemon/exit.js';
import { SettingsError } from '../daemon/settings.js';
import { main } from './main.js';

/**
 * Serves until the process is told to stop, then ends it. `uncompiled` says why no code that was
 * compiled ahead could be used, if so.
 */
export async function run(environment: NodeJS.ProcessEnv, uncompiled?: string): Promise<void> {
  try {
    await main(environment, uncompiled);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
  }
  // Servers for the machine's own questions may still hold connections; nothing is in flight.
  // eslint-disable-next-line n/no-process-exit -- see above
  process.exit();
}
