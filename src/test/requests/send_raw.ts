import { connect } from 'node:net';
import { LOOPBACK } from '../../standins/listen.js';

/** Sends bytes over a connection of their own; resolves to everything received until it closes. */
export function sendRaw(
  port: number,
  text: string,
  encoding: BufferEncoding = 'utf8',
): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, LOOPBACK);
    let received = '';
    socket.setEncoding('latin1');
    socket.on('data', (chunk: string) => {
      received += chunk;
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    socket.write(text, encoding);
  });
}
