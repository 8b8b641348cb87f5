import { Baseline, type Deployment, Ours } from '../deployment.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { changingNote } from '../notes.js';
import { type Idle, idleOf } from '../idle.js';

const SERVICES = 110;
const DATA_CENTRES = 5;
const VERSIONS = 10;
const IDLE_MS = 10_000;
const SETTLE_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Bytes that go over sockets, idle and per change, in the bytes profile. */
export class ControlBytes extends Experiment {
  readonly name = 'control-bytes';

  async run({ processes, progress }: Options): Promise<Result> {
    const shape = {
      processes,
      dataCentres: DATA_CENTRES,
      profile: 'bytes',
      services: SERVICES,
    } as const;
    await using ours = new Ours(shape, this.clock);
    progress(`starting ${processes} daemons`);
    await ours.open();
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    progress('idle');
    const idle = await idleOf(ours, IDLE_MS);
    progress(`${VERSIONS} versions`);
    const perChange = await this.#perChange(ours, idle);
    await ours[Symbol.asyncDispose]();
    await using baseline = new Baseline(shape, this.clock);
    progress(`starting ${processes} proxies of the baseline`);
    await baseline.open();
    const baselineIdle = await idleOf(baseline, IDLE_MS);
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

  /** Bytes received by all proxies per change, beyond what they receive while idle. */
  async #perChange(deployment: Deployment, idle: Idle): Promise<number> {
    const received = async () =>
      (await deployment.usage()).reduce((sum, { readBytes }) => sum + readBytes, 0);
    const before = await received();
    const startedAt = this.clock.now();
    for (let turn = 1; turn <= VERSIONS; turn++) {
      await deployment.putInForce(changingNote(turn, SERVICES));
    }
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const idleReceived = (idle.bytesPerSecond / 2) * deployment.proxies.length * seconds;
    return ((await received()) - before - idleReceived) / VERSIONS;
  }
}
