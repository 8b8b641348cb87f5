/** One roll-out in simulated time, over the real judgement and the real steps. */
import { type Rollout, type RolloutPhase } from '../../contracts.js';
import { AnswerCounter, EvidenceStore } from '../../rollout/evidence_store.js';
import { RegressionDetector } from '../../rollout/regression_detector.js';
import { orderNameOf } from '../../rollout/orders.js';
import { trialEndpointCount, phaseShare, mayComplete, nextPhase } from '../../rollout/steps.js';
import { type Random, SeededRandom } from '../../runtime/random.js';
import { type Conduct, SOUND_FATE } from './conduct.js';

const TICK_MS = 50;
const SLOTS = 6;
const WORK_MS = 130;
const SPEEDS = [0.6, 1, 1.6];
const RARE_SHARE = 0.2;
/** From the order to the endpoints of its version. */
const START_MS = 1_500;
/** Time that the order gives, in milliseconds. */
export const DURATION_MS = 16_000;
const ALLOWED_SHARE = 0.1;
const ALLOWED_SLACK = 50;
const BAD_ANSWERS = 50;
const ROLL_BACK_MS = 5_000;
/** How often endpoints tell what they have counted, old ones and those on trial. */
const OLD_EVERY_MS = 1_000;
const TRIAL_EVERY_MS = 250;
/** From the endpoint to those who judge, and from these to all entries, in milliseconds. */
const EVIDENCE_WAY_MS = 400;
const VERDICT_WAY_MS = 150;

export interface TrialOptions {
  readonly conduct: Conduct;
  readonly seed: number;
  /** Endpoints of each version. */
  readonly endpoints: number;
  readonly requestsPerSecond: number;
}

export interface TrialEnd {
  readonly phase: RolloutPhase;
  /** From the order to the last phase, in milliseconds. */
  readonly tookMs: number;
  /** Requests given to the new version until it ended, and how many a bad one may get. */
  readonly given: number;
  readonly allowed: number;
  /** Whether it got any later than it may after its fiftieth bad answer. */
  readonly isTooLate: boolean;
}

/** Requests that an endpoint runs. */
class Endpoint {
  readonly counter = new AnswerCounter();

  #ends: {
    readonly at: number;
    readonly route: string;
    readonly isFailure: boolean;
    readonly tookMs: number;
  }[] = [];

  constructor(
    readonly instance: string,
    readonly version: string,
    private readonly speed: number,
    private readonly conduct: Conduct,
    private readonly random: Random,
  ) {}

  get load(): number {
    return this.#ends.length / SLOTS;
  }

  /** Resolves to whether the answer will be bad; undefined if there is no room. */
  begin(route: string, now: number): boolean | undefined {
    if (this.#ends.length >= SLOTS) return undefined;
    const { failing, slower } = this.conduct({ ageMs: now - START_MS, load: this.load, route });
    const tookMs = (WORK_MS * slower * 2 ** (this.random.next() * 2 - 1)) / this.speed;
    const isFailure = this.random.next() < failing;
    this.#ends.push({ at: now + tookMs, route, isFailure, tookMs });
    return isFailure || slower > 2;
  }

  pass(now: number): void {
    for (const { at, route, isFailure, tookMs } of this.#ends) {
      if (at <= now) this.counter.add(route, { isFailure, tookMs });
    }
    this.#ends = this.#ends.filter(({ at }) => at > now);
  }
}

class Trial {
  readonly #random: Random;

  readonly #old: readonly Endpoint[];

  readonly #fresh: readonly Endpoint[];

  readonly #book = new EvidenceStore();

  readonly #judgement = new RegressionDetector('v2');

  /** What is on its way: takes effect at its instant. */
  #onItsWay: { readonly at: number; readonly take: () => void }[] = [];

  /** As the judge has it, and as the entries do. */
  #judged: Rollout = ORDER;

  #known: RolloutPhase = 'trial';

  #phaseAt = 0;

  #given = 0;

  #asked = 0;

  #bad = 0;

  #lastGivenAt = 0;

  #fiftiethAt = Infinity;

  constructor(private readonly options: TrialOptions) {
    this.#random = new SeededRandom(options.seed);
    const fleet = (version: string, conduct: Conduct) =>
      Array.from(
        { length: options.endpoints },
        (_, index) =>
          new Endpoint(
            `${version}-${index}`,
            version,
            SPEEDS[index % SPEEDS.length]!,
            conduct,
            this.#random,
          ),
      );
    this.#old = fleet('v1', () => SOUND_FATE);
    this.#fresh = fleet('v2', options.conduct);
  }

  play(): TrialEnd {
    let endedAt = DURATION_MS;
    for (let now = 0; now < DURATION_MS; now += TICK_MS) {
      this.#pass(now);
      this.#ask(now);
      this.#publish(now);
      if (now % TRIAL_EVERY_MS === 0) this.#judge(now);
      if (this.#isOver(now)) {
        endedAt = Math.min(endedAt, now);
        if (this.#judged.phase !== 'withdrawn') break;
      }
    }
    const rest = ((DURATION_MS - endedAt) / 1_000) * this.options.requestsPerSecond;
    const asked = this.#judged.phase === 'withdrawn' ? this.#asked : this.#asked + rest;
    return {
      phase: this.#judged.phase,
      tookMs: endedAt,
      given: this.#given,
      allowed: asked * ALLOWED_SHARE + ALLOWED_SLACK,
      isTooLate: this.#lastGivenAt > this.#fiftiethAt + ROLL_BACK_MS,
    };
  }

  #isOver(now: number): boolean {
    const { phase } = this.#judged;
    return phase === 'withdrawn' || mayComplete(this.#judged, now - this.#phaseAt);
  }

  #pass(now: number): void {
    for (const endpoint of [...this.#old, ...this.#fresh]) endpoint.pass(now);
    for (const { at, take } of this.#onItsWay) if (at <= now) take();
    this.#onItsWay = this.#onItsWay.filter(({ at }) => at > now);
  }

  #ask(now: number): void {
    const { requestsPerSecond, endpoints } = this.options;
    const mean = (requestsPerSecond * TICK_MS) / 1_000;
    const count = Math.floor(mean) + Number(this.#random.next() < mean % 1);
    const isOnTrial = this.#known === 'trial' || this.#known === 'proof';
    const { share, turn } = phaseShare(this.#known, ALLOWED_SHARE, now);
    const among = trialEndpointCount(share, endpoints);
    for (let one = 0; one < count; one++) {
      const route = this.#random.next() < RARE_SHARE ? 'rare' : 'usual';
      this.#asked += 1;
      const isGiven = now >= START_MS && isOnTrial && this.#random.next() < share;
      const index = isGiven
        ? turn * among + this.#random.below(among)
        : this.#random.below(endpoints);
      if (this.#known === 'promoting' || isGiven) this.#give(index % endpoints, route, now);
      else this.#old[index]!.begin(route, now);
    }
  }

  #give(index: number, route: string, now: number): void {
    const isBad = this.#fresh[index]!.begin(route, now);
    if (isBad === undefined) return;
    this.#given += 1;
    this.#lastGivenAt = now;
    if (!isBad) return;
    this.#bad += 1;
    if (this.#bad === BAD_ANSWERS) this.#fiftiethAt = now;
  }

  #publish(now: number): void {
    const order = orderNameOf(ORDER);
    const { upstream } = ORDER;
    const due = [
      ...(now % OLD_EVERY_MS === 0 ? this.#old : []),
      ...(now % TRIAL_EVERY_MS === 0 ? this.#fresh : []),
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
      this.#onItsWay.push({ at: now + EVIDENCE_WAY_MS, take: () => this.#book.merge(evidence) });
    }
  }

  #judge(now: number): void {
    const finding = this.#judgement.look(this.#book.of(ORDER), now);
    const { coverage } = this.#judgement;
    const sincePhaseMs = now - this.#phaseAt;
    const progress = { sinceOrderMs: now, sincePhaseMs, finding, coverage };
    const phase = nextPhase(this.#judged, progress);
    if (phase === undefined || this.#judged.phase === 'withdrawn') return;
    this.#judged = { ...this.#judged, phase };
    this.#phaseAt = now;
    this.#onItsWay.push({
      at: now + VERDICT_WAY_MS,
      take: () => {
        this.#known = phase;
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

export function trialRun(options: TrialOptions): TrialEnd {
  return new Trial(options).play();
}
