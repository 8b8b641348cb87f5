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
