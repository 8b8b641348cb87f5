/** Opens ports and reads which are open. */
import { type AddressInfo, type Server } from 'node:net';
import { reportFault } from '../runtime/faults.js';

/**
 * Starts listening; port 0 picks any free port. Resolves to the port in use. A connection that cannot
 * be accepted, for lack of descriptors or memory, is an error of the server: without a listener it would
 * be an uncaught exception, although the server goes on to accept.
 */
export async function bind(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      server.on('error', (error) => reportFault('accept', error));
      resolve();
    });
  });
  return (server.address() as AddressInfo).port;
}

/** The port on which a server listens; 0 if it does not. */
export function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}
