/**
 * Measures retry amplification in a call chain of twelve services whose deepest one fails: attempts
 * at each depth per external call, with plain retries and with the retry budget. Services are
 * modelled as nested calls in virtual time, using the production `RetryBudget`. Writes
 * `bench/results/depth.json`.
 */
import { MAX_ATTEMPTS, RetryBudget } from '../placement/retry_budget.js';
import { Clock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { saveResult } from './results.js';

const DEPTH = 12;
/** Each process handles 65 calls per second at the design size. */
const CALL_EVERY_MS = 1000 / 65;
const TIMEOUT_MS = 10_000;
const RETRY_PERCENT = 10;
const SEED = 5;

/** How the services of a run retry. */
interface RetryPolicy {
  readonly name: string;
  readonly budget: 'none' | 'earned-by-first-attempts' | 'earned-by-answers';
  /** Whether applications propagate the retry marker to their calls and their answers. */
  readonly propagatesMarker: boolean;
}

const CALLS = 4_000;
/** Each call that always fails costs about 800,000 attempts with plain retries. */
const PLAIN_FAILING_CALLS = 10;

const POLICIES: readonly RetryPolicy[] = [
  { name: 'plain: three attempts at each hop', budget: 'none', propagatesMarker: false },
  {
    name: 'budget earned by first attempts, marker not passed on',
    budget: 'earned-by-first-attempts',
    propagatesMarker: false,
  },
  {
    name: 'budget earned by answers, marker not passed on',
    budget: 'earned-by-answers',
    propagatesMarker: false,
  },
  {
    name: 'budget earned by answers, marker passed on',
    budget: 'earned-by-answers',
    propagatesMarker: true,
  },
];

/** Advances only when the model sets it. */
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
  /** Whether the answer carries the marker `barleyhaven-retried`. */
  readonly isRetried: boolean;
}

class CallChain {
  /** Attempts that reached each depth, by depth. */
  readonly attempts = new Array<number>(DEPTH).fill(0);

  readonly #clock = new VirtualClock();

  readonly #random = new SeededRandom(SEED);

  readonly #budgets = Array.from(
    { length: DEPTH },
    () => new RetryBudget(this.#clock, this.#random),
  );

  constructor(
    private readonly policy: RetryPolicy,
    private readonly failureRate: number,
  ) {}

  /** Makes one external call; returns whether it was answered. */
  call(): boolean {
    this.#clock.instant += CALL_EVERY_MS;
    return this.#callWithRetries(0, false).isAnswered;
  }

  /** The entry that calls the service at `depth`: tries until it answers or a retry is denied. */
  #callWithRetries(depth: number, isRetriedAbove: boolean): Reply {
    const budget = this.#budgets[depth]!;
    const { propagatesMarker, budget: kind } = this.policy;
    const deadline = this.#clock.now() + TIMEOUT_MS;
    if (kind === 'earned-by-first-attempts') budget.credit(RETRY_PERCENT);
    let isRetried = false;
    for (let attempts = 1; ; attempts++) {
      const reply = this.#attempt(depth, propagatesMarker && (isRetriedAbove || isRetried));
      const marked = isRetried || reply.isRetried;
      if (reply.isAnswered) {
        if (kind === 'earned-by-answers') budget.credit(RETRY_PERCENT);
        return { isAnswered: true, isRetried: propagatesMarker && marked };
      }
      const failed = {
        // The worst case: every application returns the refusal of its dependency as its own.
        verdict: 'not-run',
        reason: 'overloaded',
        attempts,
        repeatable: true,
        retriedElsewhere: propagatesMarker && (isRetriedAbove || reply.isRetried),
        deadline,
      } as const;
      const isGranted =
        kind === 'none' ? attempts < MAX_ATTEMPTS : budget.retry(failed, RETRY_PERCENT);
      if (!isGranted) return { isAnswered: false, isRetried: propagatesMarker && marked };
      isRetried = true;
    }
  }

  #attempt(depth: number, isRetriedAbove: boolean): Reply {
    this.attempts[depth]! += 1;
    if (depth + 1 < DEPTH) return this.#callWithRetries(depth + 1, isRetriedAbove);
    return { isAnswered: this.#random.next() >= this.failureRate, isRetried: false };
  }
}

function measure(policy: RetryPolicy, failureRate: number) {
  const chain = new CallChain(policy, failureRate);
  const calls = policy.budget === 'none' && failureRate === 1 ? PLAIN_FAILING_CALLS : CALLS;
  let answered = 0;
  for (let call = 0; call < calls; call++) answered += Number(chain.call());
  return {
    policy: policy.name,
    failingShare: failureRate,
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
await saveResult('depth', {
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
