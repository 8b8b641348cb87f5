/** Answers the platform's readiness checks: whether callers may be sent to this machine. */
import { createServer, type Server } from 'node:http';

export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
    response.end();
  });
}
