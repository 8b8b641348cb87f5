import { Baseline, type Deployment, Ours, type Proxy } from '../deployment.js';
import { Experiment, type Options, type Result } from '../experiment.js';
import { getJson, platformCalls } from '../http.js';
import { changingNote } from '../notes.js';
import { SERVICES, sideBySide } from '../side_by_side.js';

const DEADLINE_MS = 30_000;
const SETTLE_MS = 3_000;
const SAMPLE_MS = 100;
const WINDOW_SAMPLES = 10;
const RESTARTED_AT_ONCE = 16;

/** Half of all processes die at once and come back while the configuration changes. */
export class Herd extends Experiment {
  readonly name = 'herd';

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const killed = Math.ceil(processes / 2);
    const { own, theirs } = await sideBySide(this.clock, options, 'convergence', (deployment) =>
      this.#provoke(deployment, killed, progress),
    );
    return {
      processes,
      killed,
      recoveredMs: Math.round(own.recoveredMs),
      baselineRecoveredMs: Math.round(theirs.recoveredMs),
      peakSourceCallsPerSecond: own.peak,
      baselinePeakSourceCallsPerSecond: theirs.peak,
      rollbacks: own.rollbacks,
    };
  }

  async #provoke(
    deployment: Ours | Baseline,
    killed: number,
    progress: (text: string) => void,
  ): Promise<{ recoveredMs: number; peak: number; rollbacks: number }> {
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const victims = deployment.proxies.slice(0, killed);
    const watch = new CallRate(deployment, this.clock);
    progress(`killing ${killed}`);
    await Promise.all(victims.map(({ program }) => program.kill()));
    await restartAll(deployment, victims);
    const startedAt = this.clock.now();
    const survivor = deployment.proxies.at(-1) as Proxy;
    const number = await this.#acceptThrough(deployment, survivor);
    const deadline = this.clock.now() + DEADLINE_MS;
    progress('recovering');
    await deployment.heldEverywhere(number);
    if (deployment instanceof Ours) await this.#allReady(deployment, deadline);
    const recoveredMs = this.clock.now() - startedAt;
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const { rollbacks } = deployment;
    return { recoveredMs, peak: await watch.stop(), rollbacks };
  }

  async #acceptThrough(deployment: Ours | Baseline, survivor: Proxy): Promise<number> {
    if (deployment instanceof Baseline) return deployment.accept();
    return deployment.accept(changingNote(1, SERVICES), survivor);
  }

  async #allReady(deployment: Ours, deadline: number): Promise<void> {
    for (const { program } of deployment.proxies) {
      while (!(await isReady(program.ports.operatorsPort!))) {
        if (this.clock.now() > deadline) throw new Error('not everybody became ready');
        await this.clock.sleepUntil(this.clock.now() + SAMPLE_MS);
      }
    }
  }
}

async function isReady(port: number): Promise<boolean> {
  return (await getJson<{ ready: boolean }>(port, '/ready')).ready;
}

async function restartAll(deployment: Ours | Baseline, victims: readonly Proxy[]): Promise<void> {
  for (let from = 0; from < victims.length; from += RESTARTED_AT_ONCE) {
    const some = victims.slice(from, from + RESTARTED_AT_ONCE);
    await Promise.all(some.map((proxy) => deployment.restart(proxy)));
  }
}

/** Highest number of platform calls within any second, sampled from the stand-in's own counter. */
class CallRate {
  readonly #samples: number[] = [];

  readonly #stopping = new AbortController();

  readonly #sampling: Promise<void>;

  constructor(deployment: Deployment, clock: Deployment['clock']) {
    this.#sampling = this.#sample(deployment.platform.ports.port!, clock);
  }

  async stop(): Promise<number> {
    this.#stopping.abort();
    await this.#sampling;
    let peak = 0;
    for (let index = 0; index < this.#samples.length; index++) {
      const from = Math.max(0, index - WINDOW_SAMPLES);
      peak = Math.max(peak, this.#samples[index]! - this.#samples[from]!);
    }
    return peak;
  }

  async #sample(port: number, clock: Deployment['clock']): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#samples.push(await platformCalls(port));
      await clock.sleepUntil(clock.now() + SAMPLE_MS, this.#stopping.signal);
    }
  }
}
