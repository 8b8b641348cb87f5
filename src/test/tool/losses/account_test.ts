import { expect } from 'chai';
import { parseLine } from '../../../tool/explain/log_lines.js';
import { accountOf } from '../../../tool/losses/account.js';
import { renderAccount } from '../../../tool/losses/render_account.js';

/** Lines as processes write them. */
function linesOf(events: readonly object[]) {
  return events.map((event) => parseLine(JSON.stringify({ level: 'info', ...event }))!);
}

const counts = { returned: 0, inTime: 0, late: 0, refused: 0, failed: 0, reasons: {} };
const TALLY = { event: 'tally', route: 'menus', upstream: 'suppers', ...counts };
const ENDED = { event: 'entry-ended', verdict: 'not-run', route: 'menus', upstream: 'suppers' };
const REFUSED = { ...ENDED, reason: 'overloaded', tookMs: 2, id: 'r-1' };
const GUARD = {
  event: 'guard-ended',
  exchange: 'x',
  upstream: 'suppers',
  verdict: 'ran',
  reason: 'none',
  tookMs: 90,
  slots: 6,
  waiting: 0,
};

describe('accountOf', () => {
  // Two processes of one data centre refuse lookups in the second second. At the instant of one
  // refusal another endpoint had a slot free; at that of the other all had their slots in use.
  const lines = linesOf([
    { event: 'started', dataCentre: 'arima', callerPort: 1, incarnation: 1, instance: 'a', at: 0 },
    { event: 'started', dataCentre: 'arima', callerPort: 1, incarnation: 1, instance: 'b', at: 0 },
    { ...TALLY, instance: 'a', at: 500, asked: 3, inTime: 3 },
    { ...TALLY, instance: 'a', at: 1_500, asked: 4, inTime: 2, refused: 2, returned: 1 },
    { ...TALLY, instance: 'b', at: 1_600, asked: 2, late: 1, failed: 1, reasons: { deadline: 1 } },
    { ...GUARD, instance: 'b', at: 1_690, inFlight: 5 },
    { ...REFUSED, instance: 'a', at: 1_700 },
    { ...GUARD, instance: 'b', at: 1_795, inFlight: 6 },
    { ...REFUSED, instance: 'a', at: 1_800 },
    { ...REFUSED, instance: 'a', at: 5_000 },
  ]);

  it('adds up ends by second, route and data centre, and says where there was room', () => {
    expect(accountOf({ lines, unreadable: 2 })).toMatchSnapshot();
  });

  it('prints the seconds on which anything was lost', () => {
    expect(renderAccount(accountOf({ lines, unreadable: 2 }))).toMatchSnapshot();
  });

  it('has nothing to say of logs without counts', () => {
    expect(accountOf({ lines: [], unreadable: 0 }).rows).to.deep.equal([]);
  });
});
