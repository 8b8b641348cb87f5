/** Opens and closes HTTP servers on the loopback interface. */
import { type Server } from 'node:http';
import { bind } from '../daemon/bind.js';

export const LOOPBACK = '127.0.0.1';

export function listen(server: Server, port = 0): Promise<number> {
  return bind(server, LOOPBACK, port);
}

/** Closes a server immediately, destroying open connections. */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  server.closeAllConnections();
  await closed;
}
