/**
 * Calls twelve deep whose deepest service fails: attempts at each depth per call from outside,
 * under plain retries and under the retry budget. Services are modelled as nested calls in virtual
 * time; the decisions are those of `RetryBudget` itself. Writes `bench/results/depth.json`.
 */
import { MAX_ATTEMPTS, RetryBudget } from '../placement/retry_budget.js';
import { Clock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { keep } from './results.js';

const DEPTH = 12;
/** The design size gives each process 65 calls a second. */
const CALL_EVERY_MS = 1000 / 65;
const TIMEOUT_MS = 10_000;
const RETRY_PERCENT = 10;
const SEED = 5;

/** How the services of one run retry. */
interface Policy {
  readonly name: string;
  readonly budget: 'none' | 'earned-by-first-attempts' | 'earned-by-answers';
  /** Whether applications pass the marker of a retry on, up and down. */
  readonly passesMarker: boolean;
}

const CALLS = 4_000;
/** Under plain retries a call that fails for good costs some 800,000 attempts: a few suffice. */
const PLAIN_FAILING_CALLS = 10;

const POLICIES: readonly Policy[] = [
  { name: 'plain: three attempts at each hop', budget: 'none', passesMarker: false },
  {
    name: 'budget earned by first attempts, marker not passed on',
    budget: 'earned-by-first-attempts',
    passesMarker: false,
  },
  {
    name: 'budget earned by answers, marker not passed on',
    budget: 'earned-by-answers',
    passesMarker: false,
  },
  {
    name: 'budget earned by answers, marker passed on',
    budget: 'earned-by-answers',
    passesMarker: true,
  },
];

/** Time that moves only when the model says so. */
class VirtualClock extends Clock {
  instant = 0;

  now(): number {
    return this.instant;
  }

  sleepUntil(deadline: number): Promise<void> {
    this.instant = Math.max(this.instant, deadline);
    return Promise.resolve();
  }
}

interface Reply {
  readonly isAnswered: boolean;
  /** The marker `barleyhaven-retried`. */
  readonly isRetried: boolean;
}

class Chain {
  /** Attempts that reached each depth. */
  readonly attempts = new Array<number>(DEPTH).fill(0);

  readonly #clock = new VirtualClock();

  readonly #random = new SeededRandom(SEED);

  readonly #budgets = Array.from(
    { length: DEPTH },
    () => new RetryBudget(this.#clock, this.#random),
  );

  constructor(
    private readonly policy: Policy,
    private readonly failing: number,
  ) {}

  /** One call from outside; whether it was answered. */
  call(): boolean {
    this.#clock.instant += CALL_EVERY_MS;
    return this.#hop(0, false).isAnswered;
  }

  /** The entry in front of the service at `depth`: attempts until answered or given up. */
  #hop(depth: number, isRetriedAbove: boolean): Reply {
    const budget = this.#budgets[depth]!;
    const { passesMarker, budget: kind } = this.policy;
    const deadline = this.#clock.now() + TIMEOUT_MS;
    if (kind === 'earned-by-first-attempts') budget.credit(RETRY_PERCENT);
    let isRetried = false;
    for (let attempts = 1; ; attempts++) {
      const reply = this.#serve(depth, passesMarker && (isRetriedAbove || isRetried));
      const marked = isRetried || reply.isRetried;
      if (reply.isAnswered) {
        if (kind === 'earned-by-answers') budget.credit(RETRY_PERCENT);
        return { isAnswered: true, isRetried: passesMarker && marked };
      }
      const failed = {
        // The worst case: every application passes the refusal on as one of its own.
        verdict: 'not-run',
        reason: 'overloaded',
        attempts,
        repeatable: true,
        retriedElsewhere: passesMarker && (isRetriedAbove || reply.isRetried),
        deadline,
      } as const;
      const isGranted =
        kind === 'none' ? attempts < MAX_ATTEMPTS : budget.retry(failed, RETRY_PERCENT);
      if (!isGranted) return { isAnswered: false, isRetried: passesMarker && marked };
      isRetried = true;
    }
  }

  #serve(depth: number, isRetriedAbove: boolean): Reply {
    this.attempts[depth]! += 1;
    if (depth + 1 < DEPTH) return this.#hop(depth + 1, isRetriedAbove);
    return { isAnswered: this.#random.next() >= this.failing, isRetried: false };
  }
}

function measure(policy: Policy, failing: number) {
  const chain = new Chain(policy, failing);
  const calls = policy.budget === 'none' && failing === 1 ? PLAIN_FAILING_CALLS : CALLS;
  let answered = 0;
  for (let call = 0; call < calls; call++) answered += Number(chain.call());
  return {
    policy: policy.name,
    failingShare: failing,
    calls,
    answeredShare: round(answered / calls),
    attemptsPerCallByDepth: chain.attempts.map((count) => round(count / calls)),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

const runs = [1, 0.5, 0.05].flatMap((failing) =>
  POLICIES.map((policy) => measure(policy, failing)),
);
await keep('depth', {
  depth: DEPTH,
  callsPerSecond: 65,
  retryPercent: RETRY_PERCENT,
  seed: SEED,
  runs,
});
for (const run of runs) {
  const deepest = run.attemptsPerCallByDepth.at(-1);
  console.log(
    `${run.failingShare} failing, ${run.policy}: deepest ${deepest}, answered ${run.answeredShare}`,
  );
}
