/** Keep-alive connections of HTTP clients. */
import { Agent, type AgentOptions } from 'node:http';

/**
 * Node's agents listen for errors while a request uses a connection, and while it is idle, but not in
 * between: an error right after the end of a response would be an uncaught exception. Such a connection
 * is destroyed by then, so the error needs no other handling.
 */
export class KeepAliveAgent extends Agent {
  constructor(options: AgentOptions) {
    super({ ...options, keepAlive: true });
  }

  override createConnection(
    ...[options, callback]: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(options, callback);
    socket?.on('error', () => {});
    return socket;
  }
}
