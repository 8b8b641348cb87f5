import { expect } from 'chai';
import { type Status } from '../../contracts.js';
import { renderStatus } from '../../tool/render_status.js';
import { orderOf } from '../rollout/order.js';

const ACCEPTED = Date.UTC(2026, 11, 2, 18, 0, 0);
const MINUTE_MS = 60_000;

const WHOLE: Status = {
  asOf: ACCEPTED + 4 * MINUTE_MS,
  head: 12,
  isLogRead: true,
  versions: [
    {
      number: 12,
      note: 'seats-sold-out',
      acceptedAt: ACCEPTED + 4 * MINUTE_MS - 1_500,
      action: 'submit',
      author: 'omar',
    },
    { number: 11, note: 'opening', acceptedAt: ACCEPTED, action: 'withdraw', author: 'dana' },
  ],
  survey: {
    holding: [{ version: 12, processes: 12 }],
    laggards: [],
    unknownProcesses: 0,
    unknown: [],
    unreached: [],
  },
  rollouts: [],
};

describe('renderStatus', () => {
  it('shows who holds each version', () => {
    expect(renderStatus(WHOLE)).toMatchSnapshot();
  });

  it('shows how far roll-outs are', () => {
    const rollouts = [
      orderOf({ phase: 'proof' }),
      orderOf({ upstream: 'bookings', version: 'v3', phase: 'rolled-back', durationMs: 12_000 }),
    ];
    expect(renderStatus({ ...WHOLE, rollouts })).toMatchSnapshot();
  });

  // One proxy refuses the latest version, two do not answer, and a data centre is cut off. The
  // operator sees each of them apart; none is counted among those that hold the version.
  it('counts nobody as holding a version who has not said so', () => {
    const survey = {
      holding: [
        { version: 12, processes: 6 },
        { version: 11, processes: 1 },
      ],
      laggards: [
        { instance: 'arima-3', dataCentre: 'arima', version: 11, reason: 'refused 12: digest' },
      ],
      unknownProcesses: 3,
      unknown: ['arima-1', 'arima-2'],
      unreached: ['port-of-spain'],
    };
    expect(renderStatus({ ...WHOLE, survey })).toMatchSnapshot();
  });

  it('says that it knows no more than one process where the platform is not reached', () => {
    const versions = [{ number: 11, note: 'opening', acceptedAt: ACCEPTED }];
    const partial = { ...WHOLE, head: 11, isLogRead: false, versions };
    expect(renderStatus(partial)).toMatchSnapshot();
    expect(renderStatus({ ...partial, versions: [] })).toMatchSnapshot();
  });
});
