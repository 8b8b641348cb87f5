/** Opening and closing of HTTP servers on loopback. */
import { type Server } from 'node:http';
import { bind } from '../daemon/bind.js';

export const LOOPBACK = '127.0.0.1';

export function listen(server: Server, port = 0): Promise<number> {
  return bind(server, LOOPBACK, port);
}

/** Stops at once: connections still open are destroyed. */
export async function shut(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  server.closeAllConnections();
  await closed;
}
