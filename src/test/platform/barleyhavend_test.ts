import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';

const execFileAsync = promisify(execFile);
const PROGRAM = `
import { Signals } from './src/daemon/signals.ts';
import { run } from './src/platform/barleyhavend.ts';
import { MachineClock } from './src/runtime/clock.ts';
void run({ BARLEYHAVEN_SETTINGS: '/no/such/file' }, new Signals(new MachineClock()));
`;

describe('the program of the platform', () => {
  // Guards against a start that fails without a line in the log, which is all that some platforms keep.
  it('says as its last line that its settings cannot be used', async () => {
    const args = ['--import', 'tsx', '--input-type=module', '-e', PROGRAM];
    const { code, stdout, stderr } = await execFileAsync(process.execPath, args).then(
      () => expect.fail('exited with code 0'),
      (error: { code: number; stdout: string; stderr: string }) => error,
    );
    expect(code).to.equal(2);
    expect(stderr).to.match(/^\/no\/such\/file: Error: ENOENT/);
    const line = JSON.parse(stdout.trimEnd().split('\n').at(-1)!) as { message: string };
    expect(line).to.include({ event: 'ended', origin: 'settings' });
    expect(line.message).to.match(/^\/no\/such\/file: Error: ENOENT/);
  });
});
