/** Entry file of the process that runs on the operators' platform. */
import { EXIT_SETTINGS } from '../daemon/exit.js';
import { SettingsError } from '../daemon/settings.js';
import { main } from './main.js';

try {
  await main(process.env);
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`${error.message}\n`);
  process.exitCode = EXIT_SETTINGS;
}
// Servers for the machine's own questions may still hold connections; nothing is in flight.
// eslint-disable-next-line n/no-process-exit -- see above
process.exit();
