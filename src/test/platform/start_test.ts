import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { expect } from 'chai';
import { meshMachine, writeSettings } from '../../standins/mesh_machine.js';

const BUILD_MS = 60_000;
/** Nothing listens on this port: the process starts, but does not become ready. */
const NO_STORE_PORT = 9;

async function build(): Promise<void> {
  const building = spawn(process.execPath, ['deploy/build.mjs'], { stdio: 'ignore' });
  expect(await once(building, 'exit')).to.deep.equal([0, null]);
}

/** Names of the events that the process logs until it has started. */
async function eventsUntilStarted(child: ChildProcess): Promise<string[]> {
  const events: string[] = [];
  for await (const line of createInterface({ input: child.stdout! })) {
    const { event } = JSON.parse(line) as { event: string };
    events.push(event);
    if (event === 'started') break;
  }
  return events;
}

describe('the process of the platform', () => {
  // Guards against different flags for build and start: V8 would reject the code cache.
  it('uses the code cache that its build has written', async function test() {
    this.timeout(BUILD_MS);
    await build();
    const deploy = await readFile('deploy/system.toml', 'utf8');
    const [, words = ''] = /^run = "node (.*)"$/m.exec(deploy) ?? [];
    const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    const machine = meshMachine(0, 1, ['listings']);
    const path = join(folder, 'settings.json');
    const environment = await writeSettings(path, machine, [machine], NO_STORE_PORT);
    const child = spawn(process.execPath, words.split(' '), {
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, ...environment },
    });
    const exited = once(child, 'exit');
    try {
      expect(await eventsUntilStarted(child)).to.deep.equal(['started']);
    } finally {
      child.kill('SIGKILL');
      await exited;
      await rm(folder, { recursive: true });
    }
  });
});
