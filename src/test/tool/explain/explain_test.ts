import { expect } from 'chai';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseLine, readLogLines } from '../../../tool/explain/log_lines.js';
import { renderStory } from '../../../tool/explain/render_story.js';
import { storyOf } from '../../../tool/explain/story.js';
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

/** Lines of two processes, in the order in which a collector might have got them. */
const REFUSED = [
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
  // A guest was refused while an instance was stopped. The engineer has the id and the lines of
  // all processes in no order, and wants the story of that request and no other.
  it('puts the lines of one request in order and names its cause', () => {
    const story = storyOf('r-1', { lines: linesOf(REFUSED), unreadable: 0 });
    expect(renderStory(story)).toMatchSnapshot();
  });

  it('finds the other process by the exchange where the caller gave no id', () => {
    const other = REFUSED.map((text) =>
      text.replace('"id":"r-1","event":"guard', '"event":"guard'),
    );
    const story = storyOf('r-1', { lines: linesOf(other), unreadable: 0 });
    expect(story.lines.map(({ event }) => event)).to.include('guard-ended');
  });

  it('says what is not known of a request that no line ends', () => {
    const lines = linesOf(REFUSED.filter((text) => !text.includes('entry-ended')));
    expect(renderStory(storyOf('r-1', { lines, unreadable: 0 }))).to.match(/cause: .*was killed/);
    expect(renderStory(storyOf('r-9', { lines, unreadable: 3 }))).toMatchSnapshot();
  });

  // A commission may have run and is not sent again. The engineer must read that from the story.
  it('says why what may have run was not sent again', () => {
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
    const story = storyOf('r-1', { lines: linesOf(texts), unreadable: 0 });
    expect(renderStory(story).split('\n').at(-1)).toMatchSnapshot();
  });

  // Logs come with what a collector puts in front, and with lines that were cut off or mixed.
  it('passes over what is not a line, counts what is damaged, and reads a line behind it', async () => {
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

  it('fails clearly when a file is not there', async () => {
    let message = '';
    try {
      await readLogLines(['/nowhere/log']);
    } catch (error) {
      message = String(error);
    }
    expect(message).to.match(/ENOENT.*nowhere/);
  });
});
