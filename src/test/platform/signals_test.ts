import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { expect } from 'chai';
import { meshMachine, writeSettings } from '../../standins/mesh_machine.js';
import { HARMLESS_SIGNALS } from '../harmless_signals.js';

const BUILD_MS = 60_000;
/** Nothing listens on this port: the process starts, but does not become ready. */
const NO_STORE_PORT = 9;

/** Sends a signal to its own process when it begins to read a file whose path ends so. */
function sendWhenReading(signal: NodeJS.Signals, pathEnd: string): string {
  return `data:text/javascript,${encodeURIComponent(`
    import fs from 'node:fs';
    import promises from 'node:fs/promises';
    for (const [module, name] of [[fs, 'readFileSync'], [promises, 'readFile']]) {
      const read = module[name];
      module[name] = (path, ...rest) => {
        if (String(path).endsWith('${pathEnd}')) process.kill(process.pid, '${signal}');
        return read(path, ...rest);
      };
    }`)}`;
}

/** Moments of a start at which a process gets signals, by the end of the path that it reads then. */
const MOMENTS: Readonly<Record<string, string>> = {
  'before its bundle is loaded': 'barleyhavend.cjs',
  'while it reads its settings': 'settings.json',
};

describe('a process of the platform', function platformProcess() {
  this.timeout(BUILD_MS);

  let folder: string;
  let words: string[];

  before(async () => {
    const building = spawn(process.execPath, ['deploy/build.mjs'], { stdio: 'ignore' });
    expect(await once(building, 'exit')).to.deep.equal([0, null]);
    const deploy = await readFile('deploy/system.toml', 'utf8');
    words = /^run = "node (.*)"$/m.exec(deploy)![1]!.split(' ');
    folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
  });

  after(() => rm(folder, { recursive: true }));

  const start = async (args: readonly string[] = []): Promise<ChildProcess> => {
    const machine = meshMachine(0, 1, ['listings']);
    const path = join(folder, 'settings.json');
    const environment = await writeSettings(path, machine, [machine], NO_STORE_PORT);
    return spawn(process.execPath, [...args, ...words], {
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, ...environment },
    });
  };

  /** Stops the process once it has logged an event of that name; resolves to all its events and its end. */
  const stopAfter = async (child: ChildProcess, awaited: string, count = 1) => {
    const exited = once(child, 'exit');
    const events: string[] = [];
    let left = count;
    for await (const line of createInterface({ input: child.stdout! })) {
      const { event } = JSON.parse(line) as { event: string };
      events.push(event);
      if (event === awaited) left -= 1;
      if (left === 0 && event === awaited) child.kill('SIGTERM');
    }
    return { events, end: await exited };
  };

  // Guards against a process that ends, with what it serves by then, because its settings change while it starts.
  for (const [moment, pathEnd] of Object.entries(MOMENTS)) {
    it(`reads its settings again when it is asked to ${moment}`, async () => {
      const child = await start(['--import', sendWhenReading('SIGHUP', pathEnd)]);
      const { events, end } = await stopAfter(child, 'reloaded');
      expect(end).to.deep.equal([0, null]);
      expect(events).to.include.members(['signal', 'started', 'reloaded']);
    });
  }

  // Guards against signals that end a process with all requests in flight and without a line, or open a port.
  it('goes on and logs it when it gets signals that are not for it', async () => {
    const child = await start();
    const [first] = (await once(child.stdout!, 'data')) as [Buffer];
    child.stdout!.unshift(first);
    HARMLESS_SIGNALS.forEach((signal) => child.kill(signal));
    const logged = HARMLESS_SIGNALS.filter((signal) => signal !== 'SIGPIPE');
    const { events, end } = await stopAfter(child, 'signal', logged.length);
    expect(end).to.deep.equal([0, null]);
    // The last one asks it to stop.
    expect(events.filter((event) => event === 'signal')).to.have.length(logged.length + 1);
  });
});
