/** Entry file of the process that runs on the operators' platform. */
import { main } from './main.js';

await main(process.env);
// Servers for the machine's own questions may still hold connections; nothing is in flight.
// eslint-disable-next-line n/no-process-exit -- see above
process.exit(0);
