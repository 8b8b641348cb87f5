import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { HARMLESS_SIGNALS } from '../harmless_signals.js';

const execFileAsync = promisify(execFile);
/** Gets the signal before anybody waits for it, and again once it has begun to stop. */
const PROGRAM = `
import { Signals } from './src/daemon/signals.ts';
import { MachineClock } from './src/runtime/clock.ts';
const signals = new Signals(new MachineClock());
process.kill(process.pid, 'SIGTERM');
setInterval(() => {}, 60_000);
await signals.stopRequested;
const received = [];
const repeated = new Promise((resolve) => {
  signals.listen(({ signal, action }) => {
    received.push(signal, action);
    if (received.length === 4) resolve();
  });
});
process.kill(process.pid, 'SIGTERM');
await repeated;
process.stdout.write(received.join(' '));
process.exit();
`;

/** Arguments of a daemon that finds no platform and listens on any free ports. */
const DAEMON = [
  ...['--import', 'tsx', 'src/barleyhavend.ts', '--instance', 'arima-1', '--data-centre', 'arima'],
  ...['--platform', 'http://127.0.0.1:9', '--notice-ms', '0', '--drain-ms', '0'],
  ...['caller', 'guard', 'link', 'operators'].flatMap((name) => [`--${name}-port`, '0']),
];

describe('Signals', () => {
  // Guards against a process that dies with all requests in flight: the second signal had its default effect.
  it('keep a process alive that gets the signal before it has started, and again', async () => {
    const args = ['--import', 'tsx', '--input-type=module', '-e', PROGRAM];
    const { stdout } = await execFileAsync(process.execPath, args);
    expect(stdout).to.equal('SIGTERM stop SIGTERM stop');
  });

  // Guards against a daemon that ends, with all requests in flight, by a signal that asks for no stop.
  it('do not end a daemon, but for SIGTERM and SIGINT', async () => {
    const child = spawn(process.execPath, DAEMON, { stdio: ['ignore', 'pipe', 'inherit'] });
    const exited = once(child, 'exit');
    const logged: string[] = [];
    for await (const line of createInterface({ input: child.stdout })) {
      const { event, signal } = JSON.parse(line) as { event: string; signal?: string };
      if (event === 'listening') HARMLESS_SIGNALS.forEach((name) => child.kill(name));
      if (signal) logged.push(signal);
      if (logged.length === HARMLESS_SIGNALS.length - 1) child.kill('SIGINT');
    }
    expect(await exited).to.deep.equal([0, null]);
    const expected = HARMLESS_SIGNALS.filter((name) => name !== 'SIGPIPE');
    expect(logged).to.have.members([...expected, 'SIGINT']);
  });
});
