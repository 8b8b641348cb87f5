import { Baseline, type Deployment, Ours } from '../deployment.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { changingNote, openingNote } from '../notes.js';
import { type Usage } from '../processes.js';

const SERVICES = 110;
const DATA_CENTRES = 5;
const VERSIONS = 10;
const DEADLINE_MS = 15_000;
const IDLE_MS = 10_000;
const SETTLE_MS = 4_000;
const MS_PER_SECOND = 1_000;

interface Idle {
  readonly bytesPerSecond: number;
  readonly cpuPercent: number;
  readonly rssMb: number;
}

/** Bytes that go over sockets, idle and per change, in the bytes profile. */
export class ControlBytes extends Experiment {
  readonly name = 'control-bytes';

  async run({ processes, progress }: Options): Promise<Result> {
    const shape = { processes, dataCentres: DATA_CENTRES, profile: 'bytes' } as const;
    await using ours = new Ours(shape, this.clock);
    progress(`starting ${processes} daemons`);
    await ours.open();
    await this.#settle(ours);
    progress('idle');
    const idle = await this.idle(ours);
    progress(`${VERSIONS} versions`);
    const perChange = await this.#perChange(ours, idle);
    await ours[Symbol.asyncDispose]();
    await using baseline = new Baseline(shape, this.clock);
    progress(`starting ${processes} proxies of the baseline`);
    await baseline.open();
    baseline.hold(JSON.stringify(openingNote(SERVICES)));
    await this.#settle(baseline);
    const baselineIdle = await this.idle(baseline);
    progress(`${VERSIONS} versions`);
    const baselinePerChange = await this.#perChange(baseline, baselineIdle);
    return {
      processes,
      bytesPerChange: Math.round(perChange),
      baselineBytesPerChange: Math.round(baselinePerChange),
      idleBytesPerSecondPerProcess: Math.round(idle.bytesPerSecond),
      cpuPercentPerProcess: rounded(idle.cpuPercent),
      rssMb: rounded(idle.rssMb, 1),
      baselineIdleBytesPerSecondPerProcess: Math.round(baselineIdle.bytesPerSecond),
    };
  }

  /** Sent and received bytes, processor time and memory per process while nothing changes. */
  async idle(deployment: Deployment): Promise<Idle> {
    const before = await deployment.usage();
    const startedAt = this.clock.now();
    await this.clock.sleepUntil(startedAt + IDLE_MS);
    const after = await deployment.usage();
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const processes = after.length;
    const total = (value: (usage: Usage) => number, of: readonly Usage[]) =>
      of.reduce((sum, usage) => sum + value(usage), 0);
    const grown = (value: (usage: Usage) => number) => total(value, after) - total(value, before);
    const bytes = grown(({ readBytes, writtenBytes }) => readBytes + writtenBytes);
    return {
      bytesPerSecond: bytes / seconds / processes,
      cpuPercent: (grown(({ cpuMs }) => cpuMs) / (seconds * MS_PER_SECOND) / processes) * 100,
      rssMb: total(({ rssBytes }) => rssBytes, after) / processes / 1024 / 1024,
    };
  }

  /** Bytes received by all proxies per change, beyond what they receive while idle. */
  async #perChange(deployment: Deployment, idle: Idle): Promise<number> {
    const received = async () =>
      (await deployment.usage()).reduce((sum, { readBytes }) => sum + readBytes, 0);
    const before = await received();
    const startedAt = this.clock.now();
    for (let turn = 1; turn <= VERSIONS; turn++) await this.#accept(deployment, turn);
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const idleReceived = (idle.bytesPerSecond / 2) * deployment.proxies.length * seconds;
    return ((await received()) - before - idleReceived) / VERSIONS;
  }

  async #accept(deployment: Deployment, turn: number): Promise<void> {
    const number = await deployment.accept(changingNote(turn, SERVICES));
    const deadline = this.clock.now() + DEADLINE_MS;
    const held = await Promise.all(
      deployment.proxies.map((proxy) => deployment.held(proxy, number, deadline)),
    );
    if (held.includes(undefined)) throw new Error(`version ${number} was not held everywhere`);
  }

  async #settle(deployment: Deployment): Promise<void> {
    await deployment.accept(openingNote(SERVICES));
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
  }
}
