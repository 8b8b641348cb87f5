/** Child processes: started, measured through `/proc`, and stopped. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createInterface, type Interface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { MachineClock } from '../runtime/clock.js';
import { isAsked, type ProcessEnd, type SentSignal } from './process_end.js';
import { hasDefaultEffect, isBeforeBundle, waitedMs } from './process_status.js';

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
/** Lines of the log that are kept of each process. */
const MAX_LINES = 400;
const STOP_TIMEOUT_MS = 10_000;
/** Interval at which a process that stops is asked how long it has waited, in milliseconds. */
const SAMPLE_MS = 50;

const clock = new MachineClock();
const unaskedEnds: ProcessEnd[] = [];
const running = new Set<Program>();
// Otherwise children would go on when an exception ends this process.
process.once('exit', () => running.forEach((program) => program.signal('SIGKILL')));

/** A Node program running as a child process. */
export class Program implements AsyncDisposable {
  /** Resolves when the process has exited. */
  readonly ended: Promise<ProcessEnd>;

  /** Undefined while the process runs. */
  end: ProcessEnd | undefined;

  readonly #startedAt = clock.now();

  readonly #signals: SentSignal[] = [];

  /** The last lines of its log, oldest first. */
  readonly lines: string[] = [];

  #isReloadedBeforeFirstLine = false;

  #sampling: NodeJS.Timeout | undefined;

  #waitedMs = 0;

  private constructor(
    readonly name: string,
    readonly child: ChildProcess,
    readonly ports: Ports,
    output: Interface,
  ) {
    running.add(this);
    output.on('line', (line) => this.#keepLine(line));
    this.ended = once(child, 'exit').then(([code, signal]) =>
      this.#recordEnd(code as number | null, signal as NodeJS.Signals | null),
    );
  }

  /** The ends so far that nobody asked for, of all programs; each is returned once. */
  static takeUnaskedEnds(): ProcessEnd[] {
    return unaskedEnds.splice(0);
  }

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
    return new Program(name, child, JSON.parse(line) as Ports, lines);
  }

  /** Starts Node with these arguments in `folder`, without waiting for output. */
  static launch(
    name: string,
    nodeArguments: readonly string[],
    folder: string,
    environment: Readonly<Record<string, string>>,
  ): Program {
    const child = spawn(process.execPath, [...process.execArgv, ...nodeArguments], {
      cwd: folder,
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    return new Program(name, child, {}, createInterface({ input: child.stdout }));
  }

  get pid(): number {
    return this.child.pid!;
  }

  signal(name: NodeJS.Signals): void {
    if (this.end) return;
    this.#signals.push({ signal: name, at: clock.now(), waitedMs: waitedMs(this.pid) });
    if (name === 'SIGTERM') this.#sampling ??= setInterval(() => this.#sampleWait(), SAMPLE_MS);
    if (name === 'SIGHUP') this.#isReloadedBeforeFirstLine ||= this.#isBeforeFirstLine();
    this.child.kill(name);
  }

  /** Kills the process, as a crash would, and waits until it has exited. */
  async kill(): Promise<void> {
    await this.#stopBy('SIGKILL');
  }

  /** Asks the process to stop and waits until it has exited; one that does not is killed. */
  async stop(): Promise<void> {
    const killTimer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    await this.#stopBy('SIGTERM');
    clearTimeout(killTimer);
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

  async #stopBy(signal: NodeJS.Signals): Promise<void> {
    this.signal(signal);
    await this.ended;
  }

  #isBeforeFirstLine(): boolean {
    const { pid, lines } = this;
    return lines.length === 0 && hasDefaultEffect(pid, 'SIGHUP') && isBeforeBundle(pid);
  }

  /** A process that has ended tells no more how long it waited, so that is read all along its stop. */
  #sampleWait(): void {
    this.#waitedMs = Math.max(this.#waitedMs, waitedMs(this.pid));
  }

  #keepLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > MAX_LINES) this.lines.shift();
  }

  #recordEnd(code: number | null, signal: NodeJS.Signals | null): ProcessEnd {
    running.delete(this);
    clearInterval(this.#sampling);
    this.end = {
      name: this.name,
      pid: this.pid,
      startedAt: this.#startedAt,
      endedAt: clock.now(),
      code: code ?? undefined,
      signal: signal ?? undefined,
      signals: this.#signals,
      isBeforeFirstLine: signal === 'SIGHUP' && this.#isReloadedBeforeFirstLine,
      waitedMs: this.#waitedMs,
      lines: this.lines,
    };
    if (!isAsked(this.end) && !this.end.isBeforeFirstLine) unaskedEnds.push(this.end);
    return this.end;
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
