import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';

const execFileAsync = promisify(execFile);
/** Gets the signal before anybody waits for it, and again once it has begun to stop. */
const PROGRAM = `
import { StopSignal } from './src/daemon/stop_signal.ts';
import { MachineClock } from './src/runtime/clock.ts';
const stopSignal = new StopSignal(new MachineClock());
const repeated = new Promise((resolve) => { stopSignal.onRepeat = resolve; });
process.kill(process.pid, 'SIGTERM');
setInterval(() => {}, 60_000);
await stopSignal.received;
process.kill(process.pid, 'SIGTERM');
await repeated;
process.stdout.write('goes on');
process.exit();
`;

describe('StopSignal', () => {
  // Guards against a process that dies with all requests in flight: the second signal had its default effect.
  it('keeps a process alive that gets the signal before it has started, and again', async () => {
    const args = ['--import', 'tsx', '--input-type=module', '-e', PROGRAM];
    const { stdout } = await execFileAsync(process.execPath, args);
    expect(stdout).to.equal('goes on');
  });
});
