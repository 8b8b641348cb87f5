/**
 * An endpoint in a process of its own. For a while after a message it answers some requests with bytes that are
 * no response: heads of 1xx, on and on until its channel is closed.
 */
import { createServer } from 'node:net';
import { Endpoint } from '../standins-2/endpoint.mjs';
import { PORTS } from '../standins-2/fleet.mjs';

const WORK_MS = 30;
const HEADS = 'HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n'.repeat(200);
const machine = JSON.parse(process.argv[2]);
const share = Number(process.argv[3]);
let faultyUntil = 0;
let answers = 0;

function head(status, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

class FaultyEndpoint extends Endpoint {
  async start() {
    const server = createServer((socket) => this.#accept(socket));
    await new Promise((resolve) => {
      server.listen(PORTS.app, this.machine.ip, resolve);
    });
    this.startBeats();
  }

  #accept(socket) {
    let received = '';
    socket.on('error', () => {});
    socket.on('data', (data) => {
      received += data.toString('latin1');
      for (let end = received.indexOf('\r\n\r\n'); end >= 0; end = received.indexOf('\r\n\r\n')) {
        this.#answer(socket, received.slice(0, end));
        received = received.slice(end + 4);
      }
    });
  }

  /** Whether the next answer is a wrong one: one in so many, as `share` tells. */
  #isFaulty() {
    answers += 1;
    return answers % Math.round(1 / share) === 0;
  }

  /** The requests of the script have no body. */
  #answer(socket, text) {
    const [, id] = /^barleyhaven-request-id: (.*)$/im.exec(text) ?? [];
    const common = { 'barleyhaven-instance-id': this.id, 'barleyhaven-server-load': '1,0,18' };
    if (id === undefined) {
      socket.write(head('200 OK', { ...common, 'content-length': 0 }));
    } else if (Date.now() < faultyUntil && this.#isFaulty()) {
      process.send({ faulty: id.trim() });
      sendHeads(socket);
    } else {
      process.send({ run: id.trim() });
      const signature = {
        'barleyhaven-request-id': id.trim(),
        'barleyhaven-response-signature': 's',
      };
      const whole = `${head('200 OK', { ...common, ...signature, 'content-length': 2 })}ok`;
      setTimeout(() => socket.write(whole), WORK_MS);
    }
  }
}

function sendHeads(socket) {
  while (!socket.destroyed && socket.write(HEADS));
  if (!socket.destroyed) socket.once('drain', () => sendHeads(socket));
}

process.on('message', ({ faultyMs }) => {
  faultyUntil = Date.now() + faultyMs;
});
process.on('disconnect', () => {
  // eslint-disable-next-line n/no-process-exit -- ends with the script
  process.exit(0);
});
await new FaultyEndpoint(machine, {}).start();
