import { type Deployment, Ours } from '../deployment.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { changingNote } from '../notes.js';
import { SERVICES, sideBySide } from '../side_by_side.js';
import { type Idle, idleOf } from '../idle.js';

const VERSIONS = 10;
const IDLE_MS = 10_000;
const SETTLE_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Bytes that go over sockets, idle and per change, in the bytes profile. */
export class ControlBytes extends Experiment {
  readonly name = 'control-bytes';

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const { own, theirs } = await sideBySide(this.clock, options, 'bytes', (deployment) =>
      this.#measure(deployment, progress),
    );
    return {
      processes,
      bytesPerChange: Math.round(own.perChange),
      baselineBytesPerChange: Math.round(theirs.perChange),
      idleBytesPerSecondPerProcess: Math.round(own.idle.bytesPerSecond),
      cpuPercentPerProcess: rounded(own.idle.cpuPercent),
      rssMb: rounded(own.idle.rssMb, 1),
      baselineIdleBytesPerSecondPerProcess: Math.round(theirs.idle.bytesPerSecond),
    };
  }

  async #measure(deployment: Deployment, progress: Options['progress']) {
    // The daemons get acquainted first; the baseline's proxies know nobody.
    if (deployment instanceof Ours) await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    progress('idle');
    const idle = await idleOf(deployment, IDLE_MS);
    progress(`${VERSIONS} versions`);
    return { idle, perChange: await this.#perChange(deployment, idle) };
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
