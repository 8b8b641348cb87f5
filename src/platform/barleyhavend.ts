/** Entry point of the process on the operators' platform; `start.ts` loads its bundle. */
import { EXIT_SETTINGS } from '../daemon/exit.js';
import { writeLastLine } from '../daemon/last_line.js';
import { SettingsError } from '../daemon/settings.js';
import { main } from './main.js';

/**
 * Serves until the process is told to stop, then exits. `cacheMissReason` says why the V8 code
 * cache was not used; undefined if it was.
 */
export async function run(environment: NodeJS.ProcessEnv, cacheMissReason?: string): Promise<void> {
  try {
    await main(environment, cacheMissReason);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    writeLastLine('', { origin: 'settings', message: error.message, stack: '' });
    process.exitCode = EXIT_SETTINGS;
  }
  // The local servers may still hold idle connections; no request is in flight.
  // eslint-disable-next-line n/no-process-exit -- see above
  process.exit();
}
