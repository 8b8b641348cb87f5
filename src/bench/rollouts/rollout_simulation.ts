/** Simulates one rollout with the production regression detector and phase transitions. */
import { type Rollout, type RolloutPhase } from '../../contracts.js';
import { AnswerCounter, EvidenceStore } from '../../rollout/evidence_store.js';
import { RegressionDetector } from '../../rollout/regression_detector.js';
import { orderNameOf } from '../../rollout/orders.js';
import { trialEndpointCount, phaseShare, mayComplete, nextPhase } from '../../rollout/steps.js';
import { type Random, SeededRandom } from '../../runtime/random.js';
import { type VersionBehaviour, SOUND } from './version_behaviour.js';

const TICK_MS = 50;
const SLOTS = 6;
const WORK_MS = 130;
const SPEEDS = [0.6, 1, 1.6];
const RARE_SHARE = 0.2;
/** Time from the order until the endpoints of its version have started, in milliseconds. */
const ENDPOINT_START_MS = 1_500;
/** Duration of the rollout as ordered, in milliseconds. */
export const DURATION_MS = 16_000;
const ALLOWED_SHARE = 0.1;
const ALLOWED_SLACK = 50;
const BAD_ANSWER_LIMIT = 50;
const ROLLBACK_TIMEOUT_MS = 5_000;
/** How often endpoints publish their counts, of the stable version and of the candidate. */
const STABLE_REPORT_MS = 1_000;
const CANDIDATE_REPORT_MS = 250;
/** Delay from an endpoint to the detector and from there to all entries, in milliseconds. */
const EVIDENCE_DELAY_MS = 400;
const VERDICT_DELAY_MS = 150;

export interface RolloutOptions {
  readonly behaviour: VersionBehaviour;
  readonly seed: number;
  /** Endpoints of each version. */
  readonly endpoints: number;
  readonly requestsPerSecond: number;
}

export interface RolloutResult {
  readonly phase: RolloutPhase;
  /** Time from the order until the rollout ended, in milliseconds. */
  readonly tookMs: number;
  /** Requests sent to the candidate, and how many a faulty one may get at most. */
  readonly candidateRequests: number;
  readonly allowedRequests: number;
  /** Whether it got a request after the time allowed from its fiftieth bad answer. */
  readonly isTooLate: boolean;
}

/** An endpoint and the requests that it runs. */
class SimulatedEndpoint {
  readonly counter = new AnswerCounter();

  #inFlight: {
    readonly at: number;
    readonly route: string;
    readonly isFailure: boolean;
    readonly tookMs: number;
  }[] = [];

  constructor(
    readonly instance: string,
    readonly version: string,
    private readonly speed: number,
    private readonly behaviour: VersionBehaviour,
    private readonly random: Random,
  ) {}

  get load(): number {
    return this.#inFlight.length / SLOTS;
  }

  /** Returns whether the answer will be bad; undefined if all slots are in use. */
  tryStart(route: string, now: number): boolean | undefined {
    if (this.#inFlight.length >= SLOTS) return undefined;
    const { failureRate, slowdown } = this.behaviour({
      ageMs: now - ENDPOINT_START_MS,
      load: this.load,
      route,
    });
    const tookMs = (WORK_MS * slowdown * 2 ** (this.random.next() * 2 - 1)) / this.speed;
    const isFailure = this.random.next() < failureRate;
    this.#inFlight.push({ at: now + tookMs, route, isFailure, tookMs });
    return isFailure || slowdown > 2;
  }

  completeUntil(now: number): void {
    for (const { at, route, isFailure, tookMs } of this.#inFlight) {
      if (at <= now) this.counter.add(route, { isFailure, tookMs });
    }
    this.#inFlight = this.#inFlight.filter(({ at }) => at > now);
  }
}

class RolloutSimulation {
  readonly #random: Random;

  readonly #stable: readonly SimulatedEndpoint[];

  readonly #candidate: readonly SimulatedEndpoint[];

  readonly #evidence = new EvidenceStore();

  readonly #detector = new RegressionDetector('v2');

  /** Messages in transit; each is delivered at its instant. */
  #inTransit: { readonly at: number; readonly deliver: () => void }[] = [];

  /** The rollout as the detector knows it; the phase reaches the entries later. */
  #rollout: Rollout = ORDER;

  #phaseAtEntries: RolloutPhase = 'trial';

  #phaseAt = 0;

  #candidateRequests = 0;

  #requests = 0;

  #badAnswers = 0;

  #lastCandidateRequestAt = 0;

  #badAnswerLimitAt = Infinity;

  constructor(private readonly options: RolloutOptions) {
    this.#random = new SeededRandom(options.seed);
    const startEndpoints = (version: string, behaviour: VersionBehaviour) =>
      Array.from(
        { length: options.endpoints },
        (_, index) =>
          new SimulatedEndpoint(
            `${version}-${index}`,
            version,
            SPEEDS[index % SPEEDS.length]!,
            behaviour,
            this.#random,
          ),
      );
    this.#stable = startEndpoints('v1', () => SOUND);
    this.#candidate = startEndpoints('v2', options.behaviour);
  }

  run(): RolloutResult {
    let endedAt = DURATION_MS;
    for (let now = 0; now < DURATION_MS; now += TICK_MS) {
      this.#advanceTo(now);
      this.#sendRequests(now);
      this.#publish(now);
      if (now % CANDIDATE_REPORT_MS === 0) this.#judge(now);
      if (this.#isOver(now)) {
        endedAt = Math.min(endedAt, now);
        if (this.#rollout.phase !== 'withdrawn') break;
      }
    }
    const rest = ((DURATION_MS - endedAt) / 1_000) * this.options.requestsPerSecond;
    const requests = this.#rollout.phase === 'withdrawn' ? this.#requests : this.#requests + rest;
    return {
      phase: this.#rollout.phase,
      tookMs: endedAt,
      candidateRequests: this.#candidateRequests,
      allowedRequests: requests * ALLOWED_SHARE + ALLOWED_SLACK,
      isTooLate: this.#lastCandidateRequestAt > this.#badAnswerLimitAt + ROLLBACK_TIMEOUT_MS,
    };
  }

  #isOver(now: number): boolean {
    const { phase } = this.#rollout;
    return phase === 'withdrawn' || mayComplete(this.#rollout, now - this.#phaseAt);
  }

  #advanceTo(now: number): void {
    for (const endpoint of [...this.#stable, ...this.#candidate]) endpoint.completeUntil(now);
    for (const { at, deliver } of this.#inTransit) if (at <= now) deliver();
    this.#inTransit = this.#inTransit.filter(({ at }) => at > now);
  }

  #sendRequests(now: number): void {
    const { requestsPerSecond, endpoints } = this.options;
    const mean = (requestsPerSecond * TICK_MS) / 1_000;
    const count = Math.floor(mean) + Number(this.#random.next() < mean % 1);
    const isOnTrial = this.#phaseAtEntries === 'trial' || this.#phaseAtEntries === 'proof';
    const { share, turn } = phaseShare(this.#phaseAtEntries, ALLOWED_SHARE, now);
    const trialCount = trialEndpointCount(share, endpoints);
    for (let one = 0; one < count; one++) {
      const route = this.#random.next() < RARE_SHARE ? 'rare' : 'usual';
      this.#requests += 1;
      const isForCandidate = now >= ENDPOINT_START_MS && isOnTrial && this.#random.next() < share;
      const index = isForCandidate
        ? turn * trialCount + this.#random.below(trialCount)
        : this.#random.below(endpoints);
      if (this.#phaseAtEntries === 'promoting' || isForCandidate)
        this.#sendToCandidate(index % endpoints, route, now);
      else this.#stable[index]!.tryStart(route, now);
    }
  }

  #sendToCandidate(index: number, route: string, now: number): void {
    const isBad = this.#candidate[index]!.tryStart(route, now);
    if (isBad === undefined) return;
    this.#candidateRequests += 1;
    this.#lastCandidateRequestAt = now;
    if (!isBad) return;
    this.#badAnswers += 1;
    if (this.#badAnswers === BAD_ANSWER_LIMIT) this.#badAnswerLimitAt = now;
  }

  #publish(now: number): void {
    const order = orderNameOf(ORDER);
    const { upstream } = ORDER;
    const due = [
      ...(now % STABLE_REPORT_MS === 0 ? this.#stable : []),
      ...(now % CANDIDATE_REPORT_MS === 0 ? this.#candidate : []),
    ];
    for (const { instance, version, counter } of due) {
      const evidence = {
        instance,
        incarnation: 1,
        upstream,
        version,
        order,
        routes: counter.routes,
      };
      this.#inTransit.push({
        at: now + EVIDENCE_DELAY_MS,
        deliver: () => this.#evidence.merge(evidence),
      });
    }
  }

  #judge(now: number): void {
    const finding = this.#detector.look(this.#evidence.of(ORDER), now);
    const { coverage } = this.#detector;
    const sincePhaseMs = now - this.#phaseAt;
    const progress = { sinceOrderMs: now, sincePhaseMs, finding, coverage };
    const phase = nextPhase(this.#rollout, progress);
    if (phase === undefined || this.#rollout.phase === 'withdrawn') return;
    this.#rollout = { ...this.#rollout, phase };
    this.#phaseAt = now;
    this.#inTransit.push({
      at: now + VERDICT_DELAY_MS,
      deliver: () => {
        this.#phaseAtEntries = phase;
      },
    });
  }
}

const ORDER: Rollout = {
  upstream: 'listings',
  version: 'v2',
  orderedAt: 1,
  revision: 1,
  durationMs: DURATION_MS,
  phase: 'trial',
  isNoted: true,
  isDeleted: false,
};

export function simulateRollout(options: RolloutOptions): RolloutResult {
  return new RolloutSimulation(options).run();
}
