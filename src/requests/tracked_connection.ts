/** A connection to a server of this process, with the requests on it. */
import { type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';

export class TrackedConnection {
  /** The response to its latest request; undefined before the first one. */
  latest: ServerResponse | undefined;

  /** Its responses that are not completely written. */
  readonly unfinished = new Set<ServerResponse>();

  constructor(readonly socket: Duplex) {}
}
