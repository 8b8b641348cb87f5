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

/** Commands that the operators' page shows, at least. */
const MIN_STEPS = 9;

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

  /** A platform and one process, both as installed; the ports of the process. */
  const deployment = async (owned: Ownership): Promise<Ports> => {
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

  /** Writes the note of the README, and one with a field that nobody knows, as the pages name them. */
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

  // The release note of the README, handed in by the command of the README.
  it('puts the first release note in force', async () => {
    await using owned = new Ownership();
    const { operatorsPort } = await deployment(owned);
    const to = ['--to', `127.0.0.1:${operatorsPort}`];
    await run(command('barleyhaven'), ['submit', await writeNotes(), ...to]);
    const status = async () => (await run(command('barleyhaven'), ['status', ...to])).stdout;
    // The test's own timeout is the bound.
    while (!IN_FORCE.test(await status()));
  });

  // An operator types what the page shows. Each command has to print the first line that stands there,
  // but for instants, and to end with the same code; the page's ports stand for those of the run.
  it("runs the session of the operators' page as it is written", async () => {
    await using owned = new Ownership();
    const { operatorsPort } = await deployment(owned);
    await writeNotes();
    const to = `127.0.0.1:${operatorsPort}`;
    const env = { ...process.env, BARLEYHAVEN_TO: to };
    const page = await readFile('docs/OPERATORS.md', 'utf8');
    const steps = consoleSteps(page).filter(({ program }) => program.startsWith('barleyhaven'));
    const seen = [];
    for (const { program, args } of steps) {
      const mapped = args.map((arg) => arg.replace('127.0.0.1:7103', to));
      const ended = await run(command(program), mapped, { cwd: folder, env }).then(
        ({ stdout }) => ({ code: 0, text: stdout }),
        (error: Failure) => ({ code: error.code, text: error.stdout + error.stderr }),
      );
      seen.push({ program, args, code: ended.code, first: firstLine(ended.text) });
    }
    const written = steps.map((step) => ({ ...step, first: firstLine(step.first) }));
    expect(steps.length).to.be.at.least(MIN_STEPS);
    expect(seen).to.deep.equal(written);
  });
});

interface Failure {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A command of a page, with the line and the exit code that stand behind it. */
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
      // Columns are as wide as what stands in them.
      .replace(/ +/g, ' ')
      .trimEnd()
  );
}

/** Starts a program and resolves to the ports of the first line for which `isReady`. */
async function start(
  owned: Ownership,
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
  throw new Error(`${file} ended before it listened`);
}
