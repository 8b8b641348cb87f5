import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Ownership } from '../runtime/ownership.js';

const run = promisify(execFile);
const INSTALL_MS = 180_000;
/** The row of a version that the one process there is holds. */
const IN_FORCE = /opening-night +submit +dana .* 1 +0 +0$/m;

/** Ports that a program prints when it listens. */
type Ports = Readonly<Record<string, number>>;

describe('the package as it ships', function ships() {
  this.timeout(INSTALL_MS);

  let folder: string;
  let installed: string;

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'barleyhaven-ships-'));
    const { stdout } = await run('npm', ['pack', '--silent', '--pack-destination', folder]);
    const archive = join(folder, stdout.trim().split('\n').at(-1)!);
    const install = ['install', '--prefer-offline', '--no-audit', '--no-fund', archive];
    await run('npm', [...install, '--prefix', folder]);
    installed = join(folder, 'node_modules', 'barleyhaven', 'dist');
  });

  after(() => rm(folder, { recursive: true, force: true }));

  const command = (name: string) => join(folder, 'node_modules', '.bin', name);

  // A newcomer installs the package and asks for help. The first program ended at once, as a class was
  // used before it was set; neither command ran at all, as their first line named no interpreter.
  it('starts both commands', async () => {
    for (const name of ['barleyhavend', 'barleyhaven']) {
      const { stdout } = await run(command(name), ['--help']);
      expect(stdout).to.include(`$ ${name}`);
    }
  });

  it('compares rules on a load pattern', async () => {
    const pattern = JSON.parse(await readFile('bench/patterns/burst.json', 'utf8')) as object;
    const small = join(folder, 'small.json');
    await writeFile(small, JSON.stringify({ ...pattern, seconds: 1, changes: [] }));
    const bench = ['dist/bench/main.js', 'replay', small, '--json'];
    const { stdout } = await run(process.execPath, bench);
    const policies = (JSON.parse(stdout) as { policy: string }[]).map(({ policy }) => policy);
    expect(new Set(policies)).to.deep.equal(new Set(['ours', 'former', 'simple']));
  });

  // The release note of the README, handed in by the command of the README.
  it('puts the first release note in force', async () => {
    await using owned = new Ownership();
    const start = async (
      file: string,
      args: readonly string[],
      isReady: (line: Ports) => boolean,
    ) => {
      const child = spawn(process.execPath, [file, ...args], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      owned.use({
        async [Symbol.asyncDispose]() {
          child.kill('SIGKILL');
          await once(child, 'exit');
        },
      });
      for await (const line of createInterface({ input: child.stdout })) {
        const ports = JSON.parse(line) as Ports;
        if (isReady(ports)) return ports;
      }
      throw new Error(`${file} ended before it listened`);
    };
    const platform = await start('dist/bench/platform_main.js', [], () => true);
    const flags = {
      instance: 'arima-1',
      'data-centre': 'arima',
      platform: `http://127.0.0.1:${platform.port}`,
      'caller-port': 0,
      'guard-port': 0,
      'link-port': 0,
      'operators-port': 0,
    };
    const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
    const hasPorts = ({ operatorsPort }: Ports) => operatorsPort !== undefined;
    const { operatorsPort } = await start(join(installed, 'barleyhavend.js'), args, hasPorts);
    const to = ['--to', `127.0.0.1:${operatorsPort}`];
    const readme = await readFile('README.md', 'utf8');
    const note = join(folder, 'opening-night.yaml');
    await writeFile(note, /```yaml\n([^]*?)```/.exec(readme)![1]!);
    await run(command('barleyhaven'), ['submit', note, ...to]);
    const status = async () => (await run(command('barleyhaven'), ['status', ...to])).stdout;
    // The test's own timeout is the bound.
    while (!IN_FORCE.test(await status()));
  });
});
