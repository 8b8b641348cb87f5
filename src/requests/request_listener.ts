/** Listeners for the requests of a server that handle each of them asynchronously. */
import { type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http';
import { reportFault } from '../runtime/faults.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Calls `handle` for each request. If that fails, in spite of its own error handling, the fault is
 * reported and the response is cut: what the request has done is unknown, so it gets no refusal, and
 * its caller must not wait until its timeout.
 *
 * @example
 * ```ts
 * createServer(requestListener('entry', (request, response) => this.#serve(request, response)));
 * ```
 */
export function requestListener(place: string, handle: Handler): RequestListener {
  return (request, response) => {
    handle(request, response).catch((error: unknown) => {
      reportFault(place, error);
      response.destroy();
    });
  };
}
