import { expect } from 'chai';
import { type Rollout } from '../../contracts.js';
import { type Finding } from '../../rollout/regression_detector.js';
import {
  trialEndpointCount,
  phaseShare,
  mayComplete,
  nextPhase,
  type Progress,
} from '../../rollout/steps.js';
import { orderOf } from './order.js';

const ALLOWED = 0.1;
const SOUND: Finding = { isBad: false, reason: '', suspicion: 0, answered: 60, failed: 0 };
const TRIED = [{ route: 'browse', old: 400, tried: 60 }];

function next(order: Rollout, changes: Partial<Progress>) {
  const usual = { sinceOrderMs: 7_000, sincePhaseMs: 2_000, finding: SOUND, coverage: TRIED };
  return nextPhase(order, { ...usual, ...changes });
}

describe('steps', () => {
  // Guards against a trial that uses up the whole share that a bad version may get.
  it('give a version on trial less than the allowed share on average', () => {
    let sum = 0;
    for (let now = 0; now < 16_000; now += 1) sum += phaseShare('trial', ALLOWED, now).share;
    expect(sum / 16_000).to.be.within(0.05, 0.07);
    expect(phaseShare('withdrawn', ALLOWED, 0).share).to.equal(0);
  });

  // Guards against missing a version that is bad only under load: a small share must fill some endpoints.
  it('load a few endpoints on trial at least as much as the old ones', () => {
    const { share } = phaseShare('trial', ALLOWED, 0);
    const loads = [3, 9, 27, 116].map(
      (stable) => (share * stable) / trialEndpointCount(share, stable),
    );
    for (const [index, load] of loads.entries()) expect(load).to.be.at.least(index === 0 ? 0.7 : 1);
  });

  it('end the trial after its time, once there are answers on each used route', () => {
    const untried = [...TRIED, { route: 'confirm', old: 90, tried: 1 }];
    const rare = [...TRIED, { route: 'report', old: 3, tried: 0 }];
    expect({
      early: next(orderOf(), { sinceOrderMs: 6_000 }),
      tried: next(orderOf(), {}),
      untried: next(orderOf(), { coverage: untried }),
      rare: next(orderOf(), { coverage: rare }),
      doubtful: next(orderOf(), { finding: { ...SOUND, suspicion: 0.6 } }),
      bad: next(orderOf(), { finding: { ...SOUND, isBad: true } }),
    }).toMatchSnapshot();
  });

  it('withdraw a version without enough answers, and continue without any requests', () => {
    const finding = { ...SOUND, answered: 2 };
    const idle = { finding: { ...SOUND, answered: 0 }, coverage: [], sinceOrderMs: 10_000 };
    expect({
      waits: next(orderOf(), { finding, sinceOrderMs: 10_000 }),
      givesUp: next(orderOf(), { finding, sinceOrderMs: 13_700 }),
      idle: next(orderOf(), idle),
    }).toMatchSnapshot();
  });

  // Guards against the old version being stopped while it still serves requests.
  it('complete only after the old version has had time to finish', () => {
    const promoting = orderOf({ phase: 'promoting' });
    expect(next(orderOf({ phase: 'proof' }), {})).to.equal('promoting');
    expect(next(promoting, { finding: { ...SOUND, isBad: true } })).to.equal('withdrawn');
    expect([mayComplete(promoting, 900), mayComplete(promoting, 1_000)]).to.deep.equal([
      false,
      true,
    ]);
  });
});
