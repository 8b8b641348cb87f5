import { expect } from 'chai';
import { parseLine } from '../../../tool/explain/log_lines.js';
import { buildLossReport } from '../../../tool/losses/loss_report.js';
import { renderLossReport } from '../../../tool/losses/render_loss_report.js';

/** Log lines in the format in which processes write them. */
function linesOf(events: readonly object[]) {
  return events.map((event) => parseLine(JSON.stringify({ level: 'info', ...event }))!);
}

const NO_COUNTS = { returned: 0, inTime: 0, late: 0, refused: 0, failed: 0, reasons: {} };
const TALLY_LINE = { event: 'tally', route: 'menus', upstream: 'suppers', ...NO_COUNTS };
const ENTRY_LINE = {
  event: 'entry-ended',
  verdict: 'not-run',
  route: 'menus',
  upstream: 'suppers',
};
const REFUSAL_LINE = { ...ENTRY_LINE, reason: 'overloaded', tookMs: 2, id: 'r-1' };
const GUARD_LINE = {
  event: 'guard-ended',
  exchange: 'x',
  upstream: 'suppers',
  verdict: 'ran',
  reason: 'none',
  tookMs: 90,
  slots: 6,
  waiting: 0,
};

describe('buildLossReport', () => {
  // Two processes of one data centre count requests in second 1. Endpoint b has a free slot at the
  // refusal at 1700 ms, has none at 1800 ms, and has no recent line at 5000 ms.
  const lines = linesOf([
    { event: 'started', dataCentre: 'arima', callerPort: 1, incarnation: 1, instance: 'a', at: 0 },
    { event: 'started', dataCentre: 'arima', callerPort: 1, incarnation: 1, instance: 'b', at: 0 },
    { ...TALLY_LINE, instance: 'a', at: 500, asked: 3, inTime: 3 },
    { ...TALLY_LINE, instance: 'a', at: 1_500, asked: 4, inTime: 2, refused: 2, returned: 1 },
    {
      ...TALLY_LINE,
      instance: 'b',
      at: 1_600,
      asked: 2,
      late: 1,
      failed: 1,
      reasons: { deadline: 1 },
    },
    { ...GUARD_LINE, instance: 'b', at: 1_690, inFlight: 5 },
    { ...REFUSAL_LINE, instance: 'a', at: 1_700 },
    { ...GUARD_LINE, instance: 'b', at: 1_795, inFlight: 6 },
    { ...REFUSAL_LINE, instance: 'a', at: 1_800 },
    { ...REFUSAL_LINE, instance: 'a', at: 5_000 },
  ]);

  it('counts outcomes per second, route and data centre, and refusals while other endpoints had free slots', () => {
    expect(buildLossReport({ lines, unreadable: 2 })).toMatchSnapshot();
  });

  it('prints the seconds with late, refused or failed requests', () => {
    expect(renderLossReport(buildLossReport({ lines, unreadable: 2 }))).toMatchSnapshot();
  });

  it('reports no rows for logs without tally lines', () => {
    expect(buildLossReport({ lines: [], unreadable: 0 }).rows).to.deep.equal([]);
  });
});
