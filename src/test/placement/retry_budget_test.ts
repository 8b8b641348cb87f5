import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import fc from 'fast-check';
import { type FailedAttempt, MAX_ATTEMPTS, RetryBudget } from '../../placement/retry_budget.js';
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';

const PERCENT = 10;

describe('RetryBudget', () => {
  let timers: FakeClock;
  let budget: RetryBudget;

  beforeEach(() => {
    timers = install({ now: 1_000_000 });
    budget = new RetryBudget(new TimerClock(), new SeededRandom(1));
  });

  afterEach(() => timers.uninstall());

  function failed(change: Partial<FailedAttempt> = {}): FailedAttempt {
    return {
      verdict: 'not-run',
      reason: 'shed',
      attempts: 1,
      repeatable: false,
      retriedElsewhere: false,
      deadline: Date.now() + 1_000,
      ...change,
    };
  }

  it('decides by verdict, repeatability, hop, attempts and time left', () => {
    const cases: Record<string, Partial<FailedAttempt>> = {
      'not run': {},
      'may have run': { verdict: 'may-have-run', reason: 'connection' },
      'may have run, repeatable': { verdict: 'may-have-run', repeatable: true },
      'ran, repeatable': { verdict: 'ran', repeatable: true },
      'retried elsewhere': { retriedElsewhere: true },
      'draining, retried elsewhere': { reason: 'draining', retriedElsewhere: true },
      'last attempt': { attempts: MAX_ATTEMPTS },
      'no time left': { deadline: Date.now() + 1 },
    };
    const granted = Object.entries(cases).map(([name, change]) => {
      const retry = budget.retry(failed(change), PERCENT);
      return `${name}: ${retry ? `granted, failover ${retry.isFailover}` : 'refused'}`;
    });
    expect(granted).toMatchSnapshot();
    expect(budget.retry(failed(), 0)).to.equal(undefined);
  });

  // Guards against an upstream that fails for a minute getting three times its load when it recovers.
  // Without answers, one retry in two seconds is left after the first burst: 10 + 30 in a minute.
  it('grants only the constant rate of retries while nothing is answered', () => {
    let granted = 0;
    for (let call = 0; call < 600; call++) {
      timers.tick(100);
      if (budget.retry(failed(), PERCENT)) granted += 1;
    }
    expect(granted).to.equal(40);
  });

  it('grants failovers to another endpoint when the budget is spent', () => {
    while (budget.retry(failed(), PERCENT));
    for (let call = 0; call < 100; call++) {
      budget.credit(PERCENT);
      expect(budget.retry(failed({ reason: 'draining' }), PERCENT)?.isFailover).to.equal(true);
    }
  });

  it('never spends more than it has earned, nor starts a retry after the deadline (property)', () => {
    const step = fc.record({
      waitMs: fc.integer({ min: 0, max: 500 }),
      answers: fc.integer({ min: 0, max: 20 }),
      leftMs: fc.integer({ min: 0, max: 300 }),
      attempts: fc.integer({ min: 1, max: 3 }),
    });
    const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const tested = new RetryBudget(new TimerClock(), new SeededRandom(2));
      const startedAt = Date.now();
      let earned = tested.tokens;
      let spent = 0;
      for (const { waitMs, answers, leftMs, attempts } of steps) {
        timers.tick(waitMs);
        for (let answer = 0; answer < answers; answer++) tested.credit(PERCENT);
        earned += answers / 10;
        const deadline = Date.now() + leftMs;
        const retry = tested.retry(failed({ deadline, attempts }), PERCENT);
        if (retry) spent += 1;
        if (retry) expect(retry.startAt).to.be.at.most(deadline);
      }
      const floor = (Date.now() - startedAt) / 2_000;
      expect(spent).to.be.at.most(earned + floor + 1e-6);
    });
    fc.assert(property, { seed: 5, numRuns: 100 });
  });
});
