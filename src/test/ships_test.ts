import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { ResourceStack } from '../runtime/resource_stack.js';

const run = promisify(execFile);
const INSTALL_MS = 180_000;
/** Status row of the version once it is held by the only process. */
const IN_FORCE = /opening-night +submit +dana .* 1 +0 +0$/m;

/** Minimum number of commands on the operators' page. */
const MIN_STEPS = 9;

/** Line that a program prints when it listens: its ports by name. */
type Ports = Readonly<Record<string, number>>;

describe('the packed and installed package', function installedPackage() {
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

  // Guards against packaged commands that do not run: a class that the bundle uses before its
  // definition, or a missing interpreter line.
  it('starts both commands', async () => {
    for (const name of ['barleyhavend', 'barleyhaven']) {
      const { stdout } = await run(command(name), ['--help']);
      expect(stdout).to.include(`$ ${name}`);
    }
  });

  it('compares policies on a load pattern', async () => {
    const pattern = JSON.parse(await readFile('bench/patterns/burst.json', 'utf8')) as object;
    const small = join(folder, 'small.json');
    await writeFile(small, JSON.stringify({ ...pattern, seconds: 1, changes: [] }));
    const bench = ['dist/bench/main.js', 'replay', small, '--json'];
    const { stdout } = await run(process.execPath, bench);
    const policies = (JSON.parse(stdout) as { policy: string }[]).map(({ policy }) => policy);
    expect(new Set(policies)).to.deep.equal(new Set(['ours', 'former', 'simple']));
  });

  /** Starts a platform and one installed instance; resolves to the ports of the instance. */
  const startDeployment = async (owned: ResourceStack): Promise<Ports> => {
    const platform = await start(owned, 'dist/bench/platform_main.js', [], () => true);
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
    return start(owned, join(installed, 'barleyhavend.js'), args, hasPorts);
  };

  /** Writes the release note of the README and one with an unknown field, named as in the docs. */
  const writeNotes = async (): Promise<string> => {
    const readme = await readFile('README.md', 'utf8');
    const note = /```yaml\n([^]*?)```/.exec(readme)![1]!;
    await writeFile(join(folder, 'opening-night.yaml'), note);
    const bad = note.replace('opening-night', 'bad-note').replace('dana', 'omar');
    await writeFile(
      join(folder, 'bad.yaml'),
      bad.replace('name: menus,', 'name: menus, colour: 1,'),
    );
    return join(folder, 'opening-night.yaml');
  };

  // Guards against a README whose example release note or command does not work.
  it('puts the first release note in force', async () => {
    await using owned = new ResourceStack();
    const { operatorsPort } = await startDeployment(owned);
    const to = ['--to', `127.0.0.1:${operatorsPort}`];
    await run(command('barleyhaven'), ['submit', await writeNotes(), ...to]);
    const status = async () => (await run(command('barleyhaven'), ['status', ...to])).stdout;
    // The test's own timeout is the bound.
    while (!IN_FORCE.test(await status()));
  });

  // Guards against an operators' page that differs from the tool: the first line of output, apart from
  // timestamps, and the exit code of each command must match. The page's port is replaced.
  it("runs the commands of the operators' page with the documented results", async () => {
    await using owned = new ResourceStack();
    const { operatorsPort } = await startDeployment(owned);
    await writeNotes();
    const to = `127.0.0.1:${operatorsPort}`;
    const env = { ...process.env, BARLEYHAVEN_TO: to };
    const page = await readFile('docs/OPERATORS.md', 'utf8');
    const steps = consoleSteps(page).filter(({ program }) => program.startsWith('barleyhaven'));
    const actual = [];
    for (const { program, args } of steps) {
      const mapped = args.map((arg) => arg.replace('127.0.0.1:7103', to));
      const ended = await run(command(program), mapped, { cwd: folder, env }).then(
        ({ stdout }) => ({ code: 0, text: stdout }),
        (error: Failure) => ({ code: error.code, text: error.stdout + error.stderr }),
      );
      actual.push({ program, args, code: ended.code, first: firstLine(ended.text) });
    }
    const documented = steps.map((step) => ({ ...step, first: firstLine(step.first) }));
    expect(steps.length).to.be.at.least(MIN_STEPS);
    expect(actual).to.deep.equal(documented);
  });
});

interface Failure {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A command of a page, with the first line of output and the exit code that follow it. */
interface Step {
  readonly program: string;
  readonly args: readonly string[];
  readonly code: number;
  readonly first: string;
}

function consoleSteps(page: string): Step[] {
  const blocks = [...page.matchAll(/```console\n([^]*?)```/g)].map(([, text]) => text!);
  return blocks.flatMap((block) =>
    block
      .split(/^\$ /m)
      .slice(1)
      .map((step) => {
        const [line = '', first = ''] = step.split('\n');
        const [program = '', ...args] = line.split(' ');
        const code = Number(/^\(exit code (\d+)\)$/m.exec(step)?.[1] ?? 0);
        return { program, args, code, first };
      }),
  );
}

function firstLine(text: string): string {
  return (
    text
      .split('\n')[0]!
      .replace(/\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ/, 'INSTANT')
      // The width of columns depends on their content.
      .replace(/ +/g, ' ')
      .trimEnd()
  );
}

/** Starts a program and resolves to the first line of output for which `isReady` holds. */
async function start(
  owned: ResourceStack,
  file: string,
  args: readonly string[],
  isReady: (line: Ports) => boolean,
): Promise<Ports> {
  const child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
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
  throw new Error(`${file} exited before it listened`);
}
