/** Entry point of the process on the operators' platform; `start.ts` loads its bundle. */
import { hostname } from 'node:os';
import { EXIT_SETTINGS } from '../daemon/exit.js';
import { endOf, writeLastLine } from '../daemon/last_line.js';
import { SettingsError } from '../daemon/settings.js';
import { type Signals } from '../daemon/signals.js';
import { main } from './main.js';

/**
 * Serves until the process is told to stop, then exits. `cacheMissReason` says why the V8 code
 * cache was not used; undefined if it was.
 */
export async function run(
  environment: NodeJS.ProcessEnv,
  signals: Signals,
  cacheMissReason?: string,
): Promise<void> {
  try {
    await main(environment, signals, cacheMissReason);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    // Its own name stands in the settings.
    writeLastLine(hostname(), endOf('settings', error));
    process.exitCode = EXIT_SETTINGS;
  }
  // The local servers may still hold idle connections; no request is in flight.
  // eslint-disable-next-line n/no-process-exit -- see above
  process.exit();
}
