import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Line } from '../../logs/events.js';

const execFileAsync = promisify(execFile);
const PROGRAM = `
import { exitOnUncaughtException } from './src/daemon/uncaught_exception.ts';
const faultExit = exitOnUncaughtException('arima-1');
setTimeout(() => { FAULT }, 1);
setTimeout(() => {}, 60_000);
`;

/** Runs a process that executes `fault`; resolves to its exit code and its last log line. */
async function runUntilExit(fault: string) {
  const args = ['--import', 'tsx', '--input-type=module', '-e', PROGRAM.replace('FAULT', fault)];
  const ended = await execFileAsync(process.execPath, args).catch(
    (error: { code: number; stdout: string }) => error,
  );
  const lines = ended.stdout.trim().split('\n');
  return { code: 'code' in ended ? ended.code : 0, line: Line.parse(JSON.parse(lines.at(-1)!)) };
}

describe('exitOnUncaughtException', () => {
  // Guards against a process that crashes without a log line: the time and cause would be unknown,
  // since the stack that Node prints only names a position in the bundle.
  it('logs an uncaught exception as the last line and exits', async () => {
    const { code, line } = await runUntilExit(`throw new TypeError('no such slot')`);
    expect(code).to.equal(1);
    expect(line).to.include({ event: 'ended', message: 'no such slot', instance: 'arima-1' });
    expect('stack' in line && line.stack).to.match(/TypeError: no such slot\n +at /);
  });

  it('does the same for an unhandled rejection', async () => {
    const { code, line } = await runUntilExit(`void Promise.reject(new Error('lost'))`);
    expect(code).to.equal(1);
    expect(line).to.include({ event: 'ended', origin: 'unhandledRejection', message: 'lost' });
  });

  // Guards against a line that a pipe takes in parts, or a handler that fails itself.
  it('fits the line into one write, whatever is thrown', async () => {
    const long = await runUntilExit(`throw new Error('\\n€'.repeat(10_000))`);
    expect(JSON.stringify(long.line).length).to.be.within(1_000, 4_096);
    const odd = await runUntilExit(`throw { get message() { return this.message; } }`);
    expect(odd.line).to.include({ event: 'ended', message: '{ message: [Getter] }' });
  });

  // Guards against a process that serves on in an unknown state, because its stop hangs or fails too.
  it('exits although its stop hangs or throws, with the first cause', async () => {
    const hanging = `faultExit.stop = () => new Promise(() => {});
      setInterval(() => { throw new Error('later'); }, 100);
      throw new Error('first')`;
    const throwing = `faultExit.stop = () => { throw new Error('later'); }; throw new Error('first')`;
    for (const { code, line } of await Promise.all([hanging, throwing].map(runUntilExit))) {
      expect(code).to.equal(1);
      expect(line).to.include({ event: 'ended', message: 'first' });
    }
  });
});
