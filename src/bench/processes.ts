/** Real processes of the bench: started, measured from outside, stopped by their id. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** What the kernel has counted for a process so far. */
export interface Usage {
  /** Processor time in milliseconds. */
  readonly cpuMs: number;
  readonly rssBytes: number;
  /** Bytes read and written through system calls; nearly all of them are socket payload. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** Ports that a program prints when it listens. */
export type Ports = Readonly<Record<string, number>>;

const MS_PER_TICK = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A program of `dist/` in a process of its own. */
export class Program implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    readonly ports: Ports,
  ) {}

  /** Starts `dist/<name>.js` and waits until it prints its ports. */
  static async start(name: string, args: readonly string[]): Promise<Program> {
    const script = fileURLToPath(new URL(`../${name}.js`, import.meta.url));
    // Flags of the bench go on, such as `--cpu-prof`.
    const child = spawn(process.execPath, [...process.execArgv, script, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout });
    const [line] = (await Promise.race([
      once(lines, 'line'),
      once(child, 'exit').then(() => {
        throw new Error(`${name} ended before it listened`);
      }),
    ])) as [string];
    return new Program(child, JSON.parse(line) as Ports);
  }

  /** Starts Node with these words, in that folder; nothing of what it prints is waited for. */
  static launch(
    words: readonly string[],
    folder: string,
    environment: Readonly<Record<string, string>>,
  ): Program {
    const child = spawn(process.execPath, [...process.execArgv, ...words], {
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

  /** Ends it at once, as a crash would. */
  async kill(): Promise<void> {
    await this.#end('SIGKILL');
  }

  /** Asks it to stop and waits until it has. */
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
