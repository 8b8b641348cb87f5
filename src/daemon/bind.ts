/** Opens ports and reads which are open. */
import { type AddressInfo, type Server } from 'node:net';

/** Starts listening; port 0 picks any free port. Resolves to the port in use. */
export async function bind(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
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
