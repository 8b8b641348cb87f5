import { expect } from 'chai';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseLine, readLogLines } from '../../../tool/explain/log_lines.js';
import { renderTimeline } from '../../../tool/explain/render_timeline.js';
import { buildTimeline } from '../../../tool/explain/timeline.js';
import { type Line } from '../../../logs/events.js';

const AT = Date.UTC(2026, 11, 3);

function line(instance: string, at: number, fields: Record<string, unknown>): string {
  return JSON.stringify({ level: 'warn', instance, at: AT + at, ...fields });
}

function linesOf(texts: readonly string[]): Line[] {
  return texts.map(parseLine).filter((parsed) => parsed !== undefined);
}

const LOAD = { inFlight: 18, slots: 18, waiting: 5 };
const ROUTED = {
  event: 'routed',
  method: 'GET',
  path: '/menus/today',
  route: 'menus',
  upstream: 'listings',
  version: 11,
  leftMs: 870,
  targetMs: 600,
  isRepeatable: true,
};
const SENT = {
  event: 'sent',
  exchange: 'x-1',
  endpoint: 'arima-2',
  dataCentre: 'arima',
  attempt: 1,
  costMs: 660,
  ...LOAD,
  loadAgeMs: 144,
};
const FAILED = {
  event: 'attempt-failed',
  exchange: 'x-1',
  endpoint: 'arima-2',
  verdict: 'not-run',
  reason: 'draining',
  message: 'listings is leaving',
  tookMs: 2,
};

/** Lines of several processes, out of order as a log collector may deliver them. */
const REFUSAL_LINES = [
  line('arima-2', 1, {
    id: 'r-1',
    event: 'guard-ended',
    exchange: 'x-1',
    ...LOAD,
    route: 'menus',
    upstream: 'listings',
    verdict: 'not-run',
    reason: 'draining',
    message: 'listings is leaving',
    status: 503,
    tookMs: 0,
  }),
  line('arima-2', -400, { event: 'stopping' }),
  line('arima-1', -300, {
    event: 'endpoint-changed',
    endpoint: 'arima-2',
    upstream: 'listings',
    state: 'draining',
    slots: 18,
  }),
  line('arima-3', -299, {
    event: 'endpoint-changed',
    endpoint: 'arima-2',
    upstream: 'listings',
    state: 'draining',
    slots: 18,
  }),
  line('arima-9', 0, { event: 'stopping' }),
  line('arima-1', 0, { id: 'r-1', ...ROUTED }),
  line('arima-1', 0, { id: 'r-1', ...SENT }),
  line('arima-1', 2, { id: 'r-1', ...FAILED }),
  line('arima-1', 2, { id: 'r-1', event: 'not-resent', denial: 'no-other-endpoint', tokens: 1 }),
  line('arima-1', 2, {
    id: 'r-1',
    event: 'entry-ended',
    route: 'menus',
    upstream: 'listings',
    verdict: 'not-run',
    reason: 'draining',
    message: 'listings is leaving',
    status: 503,
    tookMs: 2,
    retryAfterMs: 250,
  }),
  line('arima-1', 3, { id: 'r-2', ...ROUTED }),
];

describe('explain', () => {
  // A request was refused while an instance shut down. Guards against lines of other requests, or of
  // processes that were not involved, in its timeline.
  it('shows the log lines of one request in time order and explains how it ended', () => {
    const timeline = buildTimeline('r-1', { lines: linesOf(REFUSAL_LINES), unreadable: 0 });
    expect(renderTimeline(timeline)).toMatchSnapshot();
  });

  it('matches lines without a request id by their exchange', () => {
    const withoutId = REFUSAL_LINES.map((text) =>
      text.replace('"id":"r-1","event":"guard', '"event":"guard'),
    );
    const timeline = buildTimeline('r-1', { lines: linesOf(withoutId), unreadable: 0 });
    expect(timeline.lines.map(({ event }) => event)).to.include('guard-ended');
  });

  it('states what is unknown about a request without a logged end', () => {
    const lines = linesOf(REFUSAL_LINES.filter((text) => !text.includes('entry-ended')));
    expect(renderTimeline(buildTimeline('r-1', { lines, unreadable: 0 }))).to.match(
      /cause: .*was killed/,
    );
    expect(renderTimeline(buildTimeline('r-9', { lines, unreadable: 3 }))).toMatchSnapshot();
  });

  // Guards against a request that a stop has cut and of which nobody can say where it stood.
  it('says where a request stood that a stop has cut', () => {
    const cut = { id: 'r-1', event: 'unfinished', hop: 'entry', tookMs: 41 };
    const texts = [
      line('arima-1', 0, { id: 'r-1', ...ROUTED }),
      line('arima-1', 1, { id: 'r-1', ...SENT }),
      line('arima-1', 41, cut),
      line('arima-1', 41, { ...cut, id: 'r-2', status: 200 }),
    ];
    const causes = ['r-1', 'r-2'].map((id) =>
      renderTimeline(buildTimeline(id, { lines: linesOf(texts), unreadable: 0 })),
    );
    expect(causes).toMatchSnapshot();
  });

  // Guards against a timeline that does not say why a non-repeatable request was not retried.
  it('explains why a request that may have run was not retried', () => {
    const texts = [
      line('arima-1', 0, { id: 'r-1', ...ROUTED, isRepeatable: false }),
      line('arima-1', 1, { id: 'r-1', ...SENT }),
      line('arima-1', 9, {
        id: 'r-1',
        ...FAILED,
        verdict: 'may-have-run',
        reason: 'connection',
        message: 'reset',
      }),
      line('arima-1', 9, { id: 'r-1', event: 'not-resent', denial: 'not-repeatable', tokens: 4 }),
      line('arima-1', 9, {
        id: 'r-1',
        event: 'entry-ended',
        verdict: 'may-have-run',
        reason: 'connection',
        message: 'reset',
        status: 502,
        tookMs: 9,
      }),
    ];
    const timeline = buildTimeline('r-1', { lines: linesOf(texts), unreadable: 0 });
    expect(renderTimeline(timeline).split('\n').at(-1)).toMatchSnapshot();
  });

  // Guards against refusals of teams that read like faults of the system.
  it('explains refusals for lack of a key and by quota', () => {
    const refused = { event: 'entry-ended', verdict: 'not-run', tookMs: 0 };
    const quota = { reason: 'quota', status: 429, team: 'acme', retryAfterMs: 400 };
    const applied = { event: 'applied', version: 12, digest: '', resources: 9, origin: 'push' };
    const texts = [
      line('arima-1', 0, applied),
      line('arima-2', 0, { ...applied, version: 11 }),
      line('arima-1', 90, { id: 'r-1', ...refused, reason: 'unauthorized', status: 401 }),
      line('arima-3', 90, { id: 'r-2', ...ROUTED, team: 'acme' }),
      line('arima-3', 90, { id: 'r-2', ...refused, ...quota }),
    ];
    const causes = ['r-1', 'r-2'].map((id) =>
      renderTimeline(buildTimeline(id, { lines: linesOf(texts), unreadable: 0 })),
    );
    expect(causes).toMatchSnapshot();
  });

  // Log collectors add prefixes and may truncate or interleave lines; whole lines must not be lost.
  it('skips other text, counts damaged lines, and reads a whole line after a damaged one', async () => {
    const file = join(await mkdtemp(join(tmpdir(), 'explain-')), 'log');
    const whole = line('arima-1', 0, { event: 'stopping' });
    const texts = [
      'starting up',
      `12.5 arima-1 ${whole}`,
      whole.slice(0, 50),
      `${whole.slice(0, 40)}${whole}`,
    ];
    await writeFile(file, `${texts.join('\n')}\n`);
    const { lines, unreadable } = await readLogLines([file]);
    expect(lines).to.have.length(2);
    expect(unreadable).to.equal(1);
  });

  it('rejects with the path of a missing file', async () => {
    let message = '';
    try {
      await readLogLines(['/nowhere/log']);
    } catch (error) {
      message = String(error);
    }
    expect(message).to.match(/ENOENT.*nowhere/);
  });
});
