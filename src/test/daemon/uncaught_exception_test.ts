import { execFile, spawn } from 'node:child_process';
import { type Readable, type Writable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Line, type ProcessEvent } from '../../logs/events.js';
import { bundleProgram } from '../bundled_program.js';

const execFileAsync = promisify(execFile);
const WRITER = new URL('./faulting_writer.ts', import.meta.url);
const PROGRAM = `
import { exitOnUncaughtException } from './src/daemon/uncaught_exception.ts';
const faultExit = exitOnUncaughtException('arima-1');
setTimeout(() => { FAULT }, 1);
setTimeout(() => {}, 60_000);
`;

type Ready = Extract<ProcessEvent, { readonly event: 'ready' }>;

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

  describe('with a full pipe', () => {
    let writer: string;

    before(async () => {
      writer = await bundleProgram(WRITER);
    });

    /** Runs the writer on a pipe that is read once `text` is on standard error. */
    async function runWriter(textBeforeRead: string) {
      // Node connects child processes by sockets; the shell uses real pipes.
      const script = '{ "$0" "$@" 2>&3; echo "exit $?" >&3; } | { read go <&4; exec cat; }';
      const shell = spawn('sh', ['-c', script, process.execPath, writer], {
        stdio: ['ignore', 'pipe', 'inherit', 'pipe', 'pipe'],
      });
      const output = text(shell.stdout!);
      const go = shell.stdio[4] as Writable;
      let stderr = '';
      for await (const chunk of shell.stdio[3] as Readable) {
        stderr += String(chunk);
        if (stderr.includes(textBeforeRead) && !go.writableEnded) go.end('go\n');
      }
      return { lines: (await output).trimEnd().split('\n'), stderr: stderr.split('\n') };
    }

    // Guards against the loss of the cause while the log collector stalls: the line was written once,
    // and dropped if the pipe had no room for it.
    it('waits a moment for a stalled reader', async () => {
      const { lines, stderr } = await runWriter('faulting');
      expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ended', message: 'no such slot' });
      expect(stderr).to.include('exit 1');
    });

    // Guards against the loss of what led to the exception: lines wait 200 ms before they are written,
    // and longer while the log collector stalls.
    it('writes the lines that wait before it, each once', async () => {
      const { lines } = await runWriter('faulting');
      const before = lines.slice(0, -1).map((line) => (JSON.parse(line) as Ready).version);
      expect(before).to.deep.equal(Array.from({ length: 1_500 }, (_, index) => index));
      expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ended', lostLines: 0 });
    });

    it('writes the line to standard error if nobody reads', async () => {
      const { lines, stderr } = await runWriter('exit');
      expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ready' });
      expect(JSON.parse(stderr[1]!)).to.include({ event: 'ended', message: 'no such slot' });
      expect(stderr).to.include('exit 1');
    });
  });
});
