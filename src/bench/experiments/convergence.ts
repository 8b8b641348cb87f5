import { Baseline, type Deployment, Ours, type Proxy } from '../deployment.js';
import { Experiment, type Options, type Result, rounded, Times } from '../experiment.js';
import { platformCalls } from '../http.js';
import { changingNote } from '../notes.js';

const SERVICES = 110;
const DATA_CENTRES = 5;
const VERSIONS = 60;
const GAP_MS = 60;
const DEADLINE_MS = 10_000;
const INSPECTED_PER_VERSION = 5;

interface Run {
  readonly times: Times;
  readonly callsPerChange: number;
  readonly late: number;
}

/** Time from hand-in until the last proxy is seen to hold the version. */
export class Convergence extends Experiment {
  readonly name = 'convergence';

  #dangling = 0;

  #partial = 0;

  async run({ processes, progress }: Options): Promise<Result> {
    const shape = {
      processes,
      dataCentres: DATA_CENTRES,
      profile: 'convergence',
      services: SERVICES,
    } as const;
    await using ours = new Ours(shape, this.clock);
    progress(`starting ${processes} daemons`);
    await ours.open();
    progress(`${VERSIONS} versions`);
    const own = await this.#measure(ours, (turn) => this.#inspectSome(ours, turn));
    const { rollbacks } = ours;
    await ours[Symbol.asyncDispose]();
    await using baseline = new Baseline(shape, this.clock);
    progress(`starting ${processes} proxies of the baseline`);
    await baseline.open();
    progress(`${VERSIONS} versions`);
    const theirs = await this.#measure(baseline, async () => {});
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
      rollbacks,
      dangling: this.#dangling,
      partial: this.#partial,
    };
  }

  async #measure(deployment: Deployment, after: (turn: number) => Promise<void>): Promise<Run> {
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
      await after(turn);
      await this.clock.sleepUntil(this.clock.now() + GAP_MS);
    }
    const calls = (await platformCalls(port)) - callsBefore;
    return { times, callsPerChange: calls / VERSIONS, late };
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
