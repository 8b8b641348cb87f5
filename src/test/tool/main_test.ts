import { expect } from 'chai';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Fleet } from '../../bench/fleet.js';
import { MachineClock } from '../../runtime/clock.js';
import { EXIT } from '../../tool/exit.js';
import { main } from '../../tool/main.js';

const NOTE = 'id: opening\nauthor: dana\nadd: { upstreams: [{ name: listings }] }\n';

describe('main', () => {
  // Guards against the address from the environment being rejected as an unknown option of some
  // command; so every command that calls a process runs here against a real one.
  it('calls the address from the environment and exits with the documented codes', async () => {
    await using fleet = await Fleet.start(new MachineClock(), {
      dataCentres: ['arima'],
      upstreams: ['listings'],
    });
    const port = fleet.nodes[0]!.instance.operatorsPort;
    const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    const file = join(folder, 'note.yaml');
    await writeFile(file, NOTE);
    const run = (...args: string[]) => runSilently(args, { BARLEYHAVEN_TO: `127.0.0.1:${port}` });
    expect(await run('check', file)).to.equal(EXIT.ok);
    expect(await run('submit', file)).to.equal(EXIT.ok);
    await writeFile(file, 'id: other\nauthor: omar\nadd: { colours: [] }\n');
    expect(await run('submit', file)).to.equal(EXIT.refused);
    expect(await run('withdraw', 'opening', '--author', 'dana')).to.equal(EXIT.ok);
    for (const command of ['status', 'audit', 'fleet', 'teams']) {
      expect(await run(command, '--json')).to.equal(EXIT.ok);
    }
    expect(await run('status', '--colour')).to.equal(EXIT.usage);
    expect(await run('frobnicate')).to.equal(EXIT.usage);
    await rm(folder, { recursive: true });
  });

  // Guards against scripts reading missing or empty logs as a period without losses.
  it('exits as failed if the logs are missing or contain no tally lines', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    const [empty, counted] = [join(folder, 'empty.log'), join(folder, 'counted.log')];
    const stamp = { level: 'info', at: 1, instance: 'arima-1', event: 'tally' };
    const ends = { asked: 1, returned: 0, inTime: 1, late: 0, refused: 0, failed: 0, reasons: {} };
    await writeFile(empty, 'not one of our lines\n');
    await writeFile(counted, JSON.stringify({ ...stamp, route: 'a', upstream: 'b', ...ends }));
    expect(await runSilently(['losses', empty], {})).to.equal(EXIT.failed);
    expect(await runSilently(['losses', join(folder, 'missing.log')], {})).to.equal(EXIT.failed);
    expect(await runSilently(['losses', counted, '--json'], {})).to.equal(EXIT.ok);
    await rm(folder, { recursive: true });
  });
});

/** Runs the tool and discards its output. */
async function runSilently(args: string[], environment: NodeJS.ProcessEnv): Promise<number> {
  const { stdout, stderr } = process;
  const [out, error] = [stdout.write, stderr.write];
  stdout.write = () => true;
  stderr.write = () => true;
  try {
    return await main(['node', 'barleyhaven', ...args], environment);
  } finally {
    stdout.write = out;
    stderr.write = error;
  }
}
