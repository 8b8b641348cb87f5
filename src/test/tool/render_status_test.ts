import { expect } from 'chai';
import { type Status } from '../../contracts.js';
import { renderStatus } from '../../tool/render_status.js';
import { orderOf } from '../rollout/order.js';

const ACCEPTED = Date.UTC(2026, 11, 2, 18, 0, 0);
const MINUTE_MS = 60_000;

const FULL_STATUS: Status = {
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
  it('shows how many processes hold each version', () => {
    expect(renderStatus(FULL_STATUS)).toMatchSnapshot();
  });

  it('shows the phase of each rollout', () => {
    const rollouts = [
      orderOf({ phase: 'proof' }),
      orderOf({ upstream: 'bookings', version: 'v3', phase: 'rolled-back', durationMs: 12_000 }),
    ];
    expect(renderStatus({ ...FULL_STATUS, rollouts })).toMatchSnapshot();
  });

  // Guards against counting a process that refuses the version, does not answer or is in an
  // unreachable data centre among those that hold it. Each case is listed separately.
  it('counts only processes that answered as holding a version', () => {
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
    expect(renderStatus({ ...FULL_STATUS, survey })).toMatchSnapshot();
  });

  it('warns that versions may be missing if the platform cannot be reached', () => {
    const versions = [{ number: 11, note: 'opening', acceptedAt: ACCEPTED }];
    const partial = { ...FULL_STATUS, head: 11, isLogRead: false, versions };
    expect(renderStatus(partial)).toMatchSnapshot();
    expect(renderStatus({ ...partial, versions: [] })).toMatchSnapshot();
  });
});
