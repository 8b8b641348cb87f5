/** Answers the platform's question whether callers may be sent to this machine. */
import { createServer, type Server } from 'node:http';

export function readinessPort(isReady: () => boolean): Server {
  return createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
    response.end();
  });
}
