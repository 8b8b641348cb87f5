import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Line } from '../../logs/events.js';

const run = promisify(execFile);
const PROGRAM = `
import { sayLastWords } from './src/daemon/last_words.ts';
sayLastWords('arima-1');
setTimeout(() => { FAULT }, 1);
setTimeout(() => {}, 60_000);
`;

/** The lines and the exit code of a process in which that happens. */
async function endOf(fault: string) {
  const args = ['--import', 'tsx', '--input-type=module', '-e', PROGRAM.replace('FAULT', fault)];
  const ended = await run(process.execPath, args).catch(
    (error: { code: number; stdout: string }) => error,
  );
  const lines = ended.stdout.trim().split('\n');
  return { code: 'code' in ended ? ended.code : 0, line: Line.parse(JSON.parse(lines.at(-1)!)) };
}

describe('sayLastWords', () => {
  // A process ends by itself under load. Its lines stopped in the middle, its stack named one line of
  // 84 kB, and nobody could tell when or why. Now the last line says so, and it ends with a code.
  it('writes a last line about an exception that nobody catches, and ends', async () => {
    const { code, line } = await endOf(`throw new TypeError('no such slot')`);
    expect(code).to.equal(1);
    expect(line).to.include({ event: 'ended', message: 'no such slot', instance: 'arima-1' });
    expect('stack' in line && line.stack).to.match(/TypeError: no such slot\n +at /);
  });

  it('does the same for a promise that is rejected', async () => {
    const { code, line } = await endOf(`void Promise.reject(new Error('lost'))`);
    expect(code).to.equal(1);
    expect(line).to.include({ event: 'ended', origin: 'unhandledRejection', message: 'lost' });
  });
});
