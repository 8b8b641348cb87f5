/** Answers the platform's readiness checks: whether callers may be sent to this machine. */
import { type Server } from 'node:http';
import { createCheckedServer } from '../requests/client_errors.js';

export function createReadinessServer(isReady: () => boolean): Server {
  return createCheckedServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
    response.end();
  });
}
