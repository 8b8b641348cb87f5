import { expect } from 'chai';
import { type Evidence, type RouteAnswers } from '../../contracts.js';
import { AnswerCounter } from '../../rollout/evidence_store.js';
import { type Finding, RegressionDetector } from '../../rollout/regression_detector.js';
import { SeededRandom } from '../../runtime/random.js';

/** Time between two evaluations, in milliseconds. */
const STEP_MS = 250;
const STEPS = 26;
/** The first evaluation of answers from the proof, in which the version has a large share. */
const PROOF_LOOK = 21;
/** Number of endpoints on trial that take the share of the proof. */
const PROOF_ENDPOINTS = 3;
const RUNS = 100;
/** Duration of a request on an endpoint of speed 1, in milliseconds. */
const WORK_MS = 130;
const OLD_ENDPOINTS = 6;
const OLD_SPEEDS = [0.6, 1, 1.6];
/** Trial answers per evaluation during a burst, and the number of evaluations from burst to burst. */
const BURST = 10;
const BURST_EVERY = 6;

/** How a version answers requests: the share that fails, and the factor on their duration. */
interface Behaviour {
  readonly failing: number;
  readonly slower: number;
}

const SOUND: Behaviour = { failing: 0.005, slower: 1 };

interface Scenario {
  /** Of the version on trial, by route and number of the evaluation. */
  readonly behaviour: (route: string, look: number) => Behaviour;
  /** Disturbances that affect both versions. */
  readonly disturbance?: (look: number) => Behaviour;
  /** Of one faulty endpoint of the version on trial. */
  readonly faulty?: Behaviour;
}

class Endpoint {
  readonly #counter = new AnswerCounter();

  constructor(
    private readonly instance: string,
    private readonly version: string,
    private readonly speed: number,
    private readonly random: SeededRandom,
  ) {}

  answer(route: string, behaviour: Behaviour, disturbance: Behaviour): void {
    const failing = 1 - (1 - behaviour.failing) * (1 - disturbance.failing);
    const spread = 2 ** (this.random.next() * 2 - 1);
    const tookMs = (WORK_MS * spread * behaviour.slower * disturbance.slower) / this.speed;
    this.#counter.add(route, { isFailure: this.random.next() < failing, tookMs });
  }

  get evidence(): Evidence {
    const { instance, version } = this;
    const routes: RouteAnswers[] = this.#counter.routes;
    return { instance, incarnation: 1, upstream: 'listings', version, order: 'v2@5', routes };
  }
}

/** The endpoints on trial that get a request before an evaluation, by index and once per request. */
function endpointsAt(look: number): number[] {
  const turn = Math.floor(look / BURST_EVERY) % OLD_ENDPOINTS;
  if (look < PROOF_LOOK) return look % BURST_EVERY < 2 ? Array<number>(BURST).fill(turn) : [];
  return Array.from(
    { length: BURST * PROOF_ENDPOINTS },
    (_, index) => (turn + (index % PROOF_ENDPOINTS)) % OLD_ENDPOINTS,
  );
}

/** The first finding that the version is bad, or the last one, with the number of its evaluation. */
function simulate(scenario: Scenario, seed: number): Finding & { readonly look: number } {
  const random = new SeededRandom(seed);
  const speedOf = (index: number) => OLD_SPEEDS[index % OLD_SPEEDS.length]!;
  const fleet = (version: string) =>
    Array.from(
      { length: OLD_ENDPOINTS },
      (_, index) => new Endpoint(`${version}-${index}`, version, speedOf(index), random),
    );
  const old = fleet('v1');
  const fresh = fleet('v2');
  const detector = new RegressionDetector('v2');
  const routeOf = () => (random.next() < 0.75 ? 'browse' : 'confirm');
  let finding: Finding | undefined;
  for (let look = 0; look < STEPS; look++) {
    const disturbance = scenario.disturbance?.(look) ?? SOUND;
    for (const endpoint of old) {
      for (let count = 0; count < 6; count++) endpoint.answer(routeOf(), SOUND, disturbance);
    }
    for (const turn of endpointsAt(look)) {
      const route = routeOf();
      const behaviour =
        turn === 0 && scenario.faulty ? scenario.faulty : scenario.behaviour(route, look);
      fresh[turn]!.answer(route, behaviour, disturbance);
    }
    const evidence = [...old, ...fresh].map((endpoint) => endpoint.evidence);
    finding = detector.look(evidence, look * STEP_MS);
    if (finding.isBad) return { ...finding, look };
  }
  return { ...finding!, look: STEPS };
}

function simulateRuns(scenario: Scenario): { readonly bad: number; readonly latest: number } {
  const findings = Array.from({ length: RUNS }, (_, seed) => simulate(scenario, seed + 1));
  const bad = findings.filter(({ isBad }) => isBad);
  return { bad: bad.length, latest: Math.max(0, ...bad.map(({ failed }) => failed)) };
}

const sound = () => SOUND;
const failing = { failing: 0.5, slower: 1 };

describe('RegressionDetector', () => {
  it('detects a version that fails half of its requests before fifty have failed', () => {
    const { bad, latest } = simulateRuns({ behaviour: () => failing });
    expect({ bad, isSoon: latest < 50 }).to.deep.equal({ bad: RUNS, isSoon: true });
  });

  it('detects a version that is five times slower', () => {
    expect(simulateRuns({ behaviour: () => ({ failing: 0, slower: 5 }) }).bad).to.equal(RUNS);
  });

  // Guards against a route that fails being hidden by the answers of the others.
  it('detects a version that fails on one route only', () => {
    const behaviour = (route: string) => (route === 'confirm' ? failing : SOUND);
    expect(simulateRuns({ behaviour }).bad).to.equal(RUNS);
  });

  // Guards against a version that becomes bad late being hidden by its good answers before.
  it('detects a version that becomes bad after a while', () => {
    const behaviour = (_: string, look: number) => (look < 12 ? SOUND : failing);
    expect(simulateRuns({ behaviour }).bad).to.equal(RUNS);
  });

  it('accepts a sound version', () => {
    expect(simulateRuns({ behaviour: sound }).bad).to.equal(0);
  });

  // Guards against a version being withdrawn for failures that the old one has in the same seconds.
  it('accepts a sound version while both versions are disturbed', () => {
    const disturbance = (look: number) =>
      look > 8 && look < 18 ? { failing: 0.3, slower: 3 } : SOUND;
    expect(simulateRuns({ behaviour: sound, disturbance }).bad).to.be.at.most(1);
  });

  // Guards against a version being withdrawn because of one of its endpoints.
  it('accepts a sound version with one faulty endpoint', () => {
    expect(
      simulateRuns({ behaviour: sound, faulty: { failing: 0.6, slower: 6 } }).bad,
    ).to.be.at.most(1);
  });
});
