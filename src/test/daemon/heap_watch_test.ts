import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Line } from '../../logs/events.js';
import { bundleProgram } from '../bundled_program.js';

const execFileAsync = promisify(execFile);

describe('HeapWatch', () => {
  // Guards against an abort at the limit of the heap that no line announces: V8 writes to standard
  // error only, and the log breaks off.
  it('warns once each time the heap nears its limit, and lets the process exit', async () => {
    const program = await bundleProgram(new URL('./growing_heap.ts', import.meta.url));
    const flags = ['--max-old-space-size=64', '--max-semi-space-size=1', '--expose-gc'];
    const { stdout } = await execFileAsync(process.execPath, [...flags, program]);
    const lines = stdout.trim().split('\n');
    expect(lines.length).to.equal(2);
    for (const text of lines) {
      const line = Line.parse(JSON.parse(text));
      if (line.event !== 'heap-high') throw new Error(`unexpected line ${text}`);
      expect(line.usedBytes / line.limitBytes).to.be.within(0.8, 1);
      expect(line.residentBytes).to.be.greaterThan(line.usedBytes);
    }
  });
});
