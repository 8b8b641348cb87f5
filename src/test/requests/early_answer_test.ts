import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { expect } from 'chai';
import { Uplink } from '../../admission/uplink.js';
import { MeshDialect } from '../../platform/mesh_dialect.js';
import { Guard } from '../../requests/guard.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { UncaughtExceptions } from '../uncaught_exceptions.js';

const HALF = 'x'.repeat(500);
const SHED = 'HTTP/1.1 503 Busy\r\nbarleyhaven-not-executed: 1\r\nContent-Length: 0\r\n\r\n';
/** Relayed, and not discarded. */
const ANSWERED = 'HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n';
const MISDIRECTED = 'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n';

describe('an instance that refuses a request before its body has arrived', () => {
  // Guards against the end of the process by a write error: Node's client takes its error listener off a
  // connection that has failed when the request ends after its response.
  for (const [name, refusal] of Object.entries({
    misdirected: MISDIRECTED,
    shed: SHED,
    answered: ANSWERED,
  })) {
    it(`does not end the process when it then resets the connection (${name})`, async () => {
      const clock = new MachineClock();
      const instance = createServer();
      const instancePort = await listen(instance as never);
      const guard = new Guard(clock, new MeshDialect(() => 'bookings'), new Uplink(clock));
      const endpoint = { upstream: 'bookings', state: 'ready', slots: 20 } as const;
      guard.announce({ ...endpoint, host: LOOPBACK, port: instancePort });
      const port = await listen(guard.server);
      using uncaught = new UncaughtExceptions();
      const entry = connect({ host: LOOPBACK, port }).on('error', () => {});
      entry.write(
        'POST /menus HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nbarleyhaven-upstream: bookings\r\n' +
          `barleyhaven-exchange-id: 1\r\nbarleyhaven-remaining-ms: 2000\r\n\r\n1f4\r\n${HALF}\r\n`,
      );
      const [socket] = (await once(instance, 'connection')) as [Socket];
      socket.on('error', () => {});
      await once(socket, 'data');
      socket.write(refusal);
      await clock.sleepUntil(clock.now() + 50);
      // Both are read in the same turn of the event loop, as by a process that had no processor.
      entry.write('0\r\n\r\n');
      socket.resetAndDestroy();
      await clock.sleepUntil(clock.now() + 300);
      entry.destroy();
      await guard[Symbol.asyncDispose]();
      await closeServer(guard.server);
      instance.close();
      expect(uncaught.errors).to.deep.equal([]);
    });
  }
});
