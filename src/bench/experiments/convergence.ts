import { type Deployment, Ours, type Proxy } from '../deployment.js';
import { Experiment, type Options, type Result, rounded, Times } from '../experiment.js';
import { platformCalls } from '../http.js';
import { changingNote } from '../notes.js';
import { SERVICES, sideBySide } from '../side_by_side.js';

const VERSIONS = 60;
const GAP_MS = 60;
const DEADLINE_MS = 10_000;
const INSPECTED_PER_VERSION = 5;

interface Run {
  readonly times: Times;
  readonly callsPerChange: number;
  readonly late: number;
  readonly rollbacks: number;
}

/** Time from hand-in until the last proxy is seen to hold the version. */
export class Convergence extends Experiment {
  readonly name = 'convergence';

  #dangling = 0;

  #partial = 0;

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const { own, theirs } = await sideBySide(this.clock, options, 'convergence', (deployment) => {
      progress(`${VERSIONS} versions`);
      return this.#measure(deployment);
    });
    return {
      processes,
      versions: VERSIONS,
      p50Ms: rounded(own.times.at(50)),
      p99Ms: rounded(own.times.at(99)),
      baselineP50Ms: rounded(theirs.times.at(50)),
      baselineP99Ms: rounded(theirs.times.at(99)),
      sourceCallsPerChange: rounded(own.callsPerChange),
      baselineSourceCallsPerChange: rounded(theirs.callsPerChange),
      late: own.late,
      baselineLate: theirs.late,
      rollbacks: own.rollbacks,
      dangling: this.#dangling,
      partial: this.#partial,
    };
  }

  async #measure(deployment: Deployment): Promise<Run> {
    const times = new Times();
    const port = deployment.platform.ports.port!;
    const callsBefore = await platformCalls(port);
    let late = 0;
    for (let turn = 1; turn <= VERSIONS; turn++) {
      const next = turn + 1;
      const deadline = this.clock.now() + DEADLINE_MS;
      const holding = deployment.proxies.map((proxy) => deployment.held(proxy, next, deadline));
      const handedInAt = this.clock.now();
      await deployment.accept(changingNote(turn, SERVICES));
      const held = await Promise.all(holding);
      if (held.includes(undefined)) late += 1;
      else times.add(Math.max(...(held as number[])) - handedInAt);
      if (deployment instanceof Ours) await this.#inspectSome(deployment, turn);
      await this.clock.sleepUntil(this.clock.now() + GAP_MS);
    }
    const calls = (await platformCalls(port)) - callsBefore;
    const { rollbacks } = deployment;
    return { times, callsPerChange: calls / VERSIONS, late, rollbacks };
  }

  async #inspectSome(ours: Ours, turn: number): Promise<void> {
    const { proxies } = ours;
    const some = Array.from(
      { length: INSPECTED_PER_VERSION },
      (_, offset) => proxies[(turn * INSPECTED_PER_VERSION + offset) % proxies.length] as Proxy,
    );
    for (const proxy of some) {
      const { whole, closed } = await ours.inspect(proxy);
      if (!whole) this.#partial += 1;
      if (!closed) this.#dangling += 1;
    }
  }
}
