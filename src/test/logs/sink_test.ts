import { expect } from 'chai';
import { spawn } from 'node:child_process';
import { createReadStream } from 'node:fs';
import { mkdtemp, open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { sinkOf } from '../../logs/sink.js';
import { bundleProgram } from '../bundled_program.js';

const WRITER = new URL('./stalled_writer.ts', import.meta.url);

describe('a sink on standard output', () => {
  let writer: string;

  before(async () => {
    writer = await bundleProgram(WRITER);
  });

  // Guards against a process that cannot exit while the log collector stalls: a blocked thread would
  // keep it running until the platform kills it, before it has announced that it leaves.
  it('lets a process exit although nobody reads its output', async () => {
    // Node connects child processes by sockets, which do not block; the shell uses real pipes.
    const script = '{ ("$0" "$@" 2>&3; echo " ended $?" >&3) | sleep 60; } 3>&1';
    const shell = spawn('sh', ['-c', script, process.execPath, writer], {
      stdio: ['ignore', 'pipe', 'inherit'],
      detached: true,
    });
    let output = '';
    for await (const chunk of shell.stdout) {
      output += String(chunk);
      if (output.includes('ended')) break;
    }
    process.kill(-shell.pid!);
    const [dropped, code] = output.trim().split(' ended ');
    expect(code).to.equal('0');
    expect((JSON.parse(dropped!) as { important: number }).important).to.be.greaterThan(0);
  });

  it('delivers all lines to a reader that keeps reading', async () => {
    const child = spawn(process.execPath, [writer], { stdio: ['ignore', 'pipe', 'ignore'] });
    const lines = (await text(child.stdout)).trimEnd().split('\n');
    expect(lines.length).to.be.greaterThan(1_000);
    expect(lines.every((line) => JSON.parse(line).instance === 'arima-1')).to.equal(true);
  });

  it('writes to a file', async () => {
    const path = join(await mkdtemp(join(tmpdir(), 'sink-')), 'log');
    const file = await open(path, 'w');
    await sinkOf(file.fd).write('one\n');
    await file.close();
    expect(await text(createReadStream(path))).to.equal('one\n');
  });
});
