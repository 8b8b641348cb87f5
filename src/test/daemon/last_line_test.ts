import { spawn } from 'node:child_process';
import { type Readable, type Writable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { expect } from 'chai';
import { type ProcessEvent } from '../../logs/events.js';
import { bundleProgram } from '../bundled_program.js';

const WRITER = new URL('./last_line_writer.ts', import.meta.url);
/** Long enough for a reader on a busy machine. */
const LONG_MS = 30_000;
const SHORT_MS = 100;

type Ready = Extract<ProcessEvent, { readonly event: 'ready' }>;

describe('writeLastLine', () => {
  let writer: string;

  before(async () => {
    writer = await bundleProgram(WRITER);
  });

  /** Runs the writer on a pipe that is read once `text` is on standard error. */
  async function runWriter(textBeforeRead: string, args: readonly unknown[], before = ':') {
    // Node connects child processes by sockets; the shell uses real pipes.
    const script = `{ ${before}; "$0" "$@" 2>&3; echo "exit $?" >&3; } | { read go <&4; exec cat; }`;
    const shell = spawn('sh', ['-c', script, process.execPath, writer, ...args.map(String)], {
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
    const { lines, stderr } = await runWriter('ending', [LONG_MS]);
    expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ended', message: 'no such slot' });
    expect(stderr).to.include('exit 1');
  });

  // Guards against the loss of what led to the exception: lines wait 200 ms before they are written,
  // and longer while the log collector stalls.
  it('writes the lines that wait before it, each once', async () => {
    const { lines } = await runWriter('ending', [LONG_MS]);
    const before = lines.slice(0, -1).map((line) => (JSON.parse(line) as Ready).version);
    expect(before).to.deep.equal(Array.from({ length: 1_500 }, (_, index) => index));
    expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ended', lostLines: 0 });
  });

  // Guards against a process that never exits: a pipe blocks until a log makes it non-blocking.
  it('exits although the pipe is full before it has a log', async () => {
    const { stderr } = await runWriter('exit', [SHORT_MS, 'early'], 'timeout 1 cat /dev/zero');
    expect(JSON.parse(stderr[1]!)).to.include({ event: 'ended', message: 'no such slot' });
    expect(stderr).to.include('exit 1');
  });

  it('writes the line to standard error if nobody reads', async () => {
    const { lines, stderr } = await runWriter('exit', [SHORT_MS]);
    expect(JSON.parse(lines.at(-1)!)).to.include({ event: 'ready' });
    expect(JSON.parse(stderr[1]!)).to.include({ event: 'ended', message: 'no such slot' });
    expect(stderr).to.include('exit 1');
  });
});
