/** Child processes: started, measured through `/proc`, and stopped. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** The kernel's counters of a process since its start. */
export interface Usage {
  /** CPU time in milliseconds. */
  readonly cpuMs: number;
  readonly rssBytes: number;
  /** Bytes read and written by system calls, nearly all of them on sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** Port numbers by name, as a program prints them once it listens. */
export type Ports = Readonly<Record<string, number>>;

const MS_PER_TICK = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A Node program running as a child process. */
export class Program implements AsyncDisposable {
  private constructor(
    readonly child: ChildProcess,
    readonly ports: Ports,
  ) {}

  /** Starts `dist/<name>.js` and waits until it prints its ports. */
  static async start(name: string, args: readonly string[]): Promise<Program> {
    const script = fileURLToPath(new URL(`../${name}.js`, import.meta.url));
    // Node flags of this process, such as `--cpu-prof`, are passed on.
    const child = spawn(process.execPath, [...process.execArgv, script, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout });
    const [line] = (await Promise.race([
      once(lines, 'line'),
      once(child, 'exit').then(() => {
        throw new Error(`${name} exited before it printed its ports`);
      }),
    ])) as [string];
    return new Program(child, JSON.parse(line) as Ports);
  }

  /** Starts Node with these arguments in `folder`, without waiting for output. */
  static launch(
    nodeArguments: readonly string[],
    folder: string,
    environment: Readonly<Record<string, string>>,
  ): Program {
    const child = spawn(process.execPath, [...process.execArgv, ...nodeArguments], {
      cwd: folder,
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout.resume();
    return new Program(child, {});
  }

  get pid(): number {
    return this.child.pid!;
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process, as a crash would, and waits until it has exited. */
  async kill(): Promise<void> {
    await this.#end('SIGKILL');
  }

  /** Asks the process to stop and waits until it has exited. */
  async stop(): Promise<void> {
    await this.#end('SIGTERM');
  }

  async usage(): Promise<Usage> {
    const [stat, io, status] = await Promise.all(
      ['stat', 'io', 'status'].map((file) => readFile(`/proc/${this.pid}/${file}`, 'utf8')),
    );
    const fields = stat!.slice(stat!.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return {
      cpuMs: ticks * MS_PER_TICK,
      rssBytes: numberAfter(status!, 'VmRSS:') * 1024,
      readBytes: numberAfter(io!, 'rchar:'),
      writtenBytes: numberAfter(io!, 'wchar:'),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    const exited = once(this.child, 'exit');
    this.child.kill(signal);
    await exited;
  }
}

function numberAfter(text: string, label: string): number {
  return Number(
    text
      .slice(text.indexOf(label) + label.length)
      .trim()
      .split(/\s/, 1)[0],
  );
}
