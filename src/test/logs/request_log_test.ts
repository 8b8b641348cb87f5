import { expect } from 'chai';
import { notRun, OutcomeError } from '../../contracts.js';
import { type Log } from '../../logs/log.js';
import { type RequestEnd, RequestLog } from '../../logs/request_log.js';
import { FakeTime } from '../fake_time.js';
import { MemoryLog } from './memory_log.js';

const RESENT = { event: 'resent', endpoint: 'arima-2', isFailover: true, startMs: 0 } as const;
const ROUTED = {
  event: 'routed',
  method: 'GET',
  path: '/menus',
  route: 'menus',
  upstream: 'listings',
  version: 1,
  leftMs: 900,
  targetMs: 600,
  isRepeatable: true,
} as const;
const OVERLOADED = new OutcomeError('no room', { verdict: 'not-run', reason: 'overloaded' });

describe('RequestLog', () => {
  let time: FakeTime;
  let ended: RequestEnd[];

  beforeEach(() => {
    time = new FakeTime();
    ended = [];
  });

  afterEach(() => time[Symbol.dispose]());

  function logOf(log: Log): RequestLog {
    return new RequestLog(log, time.clock, (ending) => ended.push(ending));
  }

  it('writes the decisions with their original timestamps once the request has ended', async () => {
    const log = new MemoryLog('debug');
    const startedAt = time.clock.now();
    const trace = logOf(log).begin('r-1');
    await time.advance(5);
    trace.add(RESENT);
    expect(log.lines).to.deep.equal([]);
    await time.advance(7);
    trace.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    expect(log.lines.map((line) => ({ ...line, at: line.at - startedAt }))).toMatchSnapshot();
  });

  // Guards against refusals by quota whose team is not known: in a burst only the ends are logged.
  it('names the team of the caller when a request is routed and when it ends', () => {
    const log = new MemoryLog('debug');
    const trace = logOf(log).begin('r-1');
    trace.routed({ ...ROUTED, team: 'acme' });
    const refusal = notRun('quota', 'team acme is at its quota');
    trace.failed('entry-ended', { statusCode: 429 }, refusal, false);
    expect(log.events.map((event) => 'team' in event && event.team)).to.deep.equal([
      'acme',
      'acme',
    ]);
    expect(ended).to.containSubset([{ team: 'acme', reason: 'quota' }]);
  });

  // Guards against losing the lines of a failed request among thousands of served ones per second:
  // it must be logged completely, with the decisions made before it failed.
  it('limits the lines of served requests without dropping those of a failed one', () => {
    const log = new MemoryLog('debug');
    const requests = logOf(log);
    for (let count = 0; count < 1_000; count++) {
      requests.begin(`ok-${count}`).answered('entry-ended', { statusCode: 200 });
    }
    const failed = requests.begin('failed');
    failed.add(RESENT);
    failed.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    expect(log.lines.filter(({ level }) => level === 'debug')).to.have.length(20);
    expect(log.lines.filter(({ level }) => level === 'warn')).to.have.length(2);
    expect(requests.leftOut).to.equal(980);
    expect(ended, 'all requests are reported to the metrics').to.have.length(1_001);
  });

  // Guards against logging that takes processor time away from requests, and against samples that
  // show a request at one hop only.
  it('samples served requests, the same ones at each hop', async () => {
    const logs = [new MemoryLog('debug'), new MemoryLog('debug')];
    const hops = logs.map(logOf);
    for (let count = 0; count < 1_600; count++) {
      for (const hop of hops)
        hop.begin(`4f2a-${count}`).answered('entry-ended', { statusCode: 200 });
      await time.advance(50);
    }
    const [entry, guard] = logs.map(({ lines }) =>
      lines.map((line) => ('id' in line ? line.id : '')),
    );
    expect(entry).to.deep.equal(guard);
    expect(entry!.length).to.be.within(70, 130);
  });

  // Guards against logging that costs more than the work under overload: of a thousand refusals per
  // second some are logged with all decisions, more with their end only, and the rest not at all.
  it('limits the lines about a burst of refusals at two levels of detail', () => {
    const log = new MemoryLog('warn');
    const requests = logOf(log);
    for (let count = 0; count < 1_000; count++) {
      const trace = requests.begin(`no-${count}`);
      trace.add(RESENT);
      trace.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    }
    expect(log.lines).to.have.length(20 * 2 + 200);
    expect(requests.leftOut).to.equal(780);
  });

  it('keeps the first and the latest decisions of a request with many attempts', () => {
    const log = new MemoryLog('warn');
    const trace = logOf(log).begin('r-1');
    for (let startMs = 0; startMs < 100; startMs++) trace.add({ ...RESENT, startMs });
    trace.failed('entry-ended', { statusCode: 502 }, OVERLOADED, false);
    expect(log.lines).to.have.length(24);
    expect(log.lines[0]?.event).to.deep.include({ startMs: 0 });
    expect(log.lines.at(-2)?.event).to.deep.include({ startMs: 99 });
  });

  // Guards against logging the verdict of the error when the connection broke after the head of the
  // response was sent: it would hide that the caller has a partial response.
  it('logs a partial response with the verdict cut', () => {
    const log = new MemoryLog('warn');
    const trace = logOf(log).begin('r-1');
    trace.failed('entry-ended', { statusCode: 200 }, OVERLOADED, true);
    expect(log.lines[0]?.event).to.deep.include({ verdict: 'cut', status: 200 });
  });

  // Guards against requests that a stop cuts without a trace: nobody could say which ones, and where they stood.
  it('writes the decisions about the requests that have not ended', () => {
    const log = new MemoryLog('warn');
    const requests = logOf(log);
    requests.begin('done', { statusCode: 200, headersSent: true }).answered('entry-ended', {
      statusCode: 200,
    });
    requests.begin('sent', { statusCode: 200, headersSent: false }).add(RESENT);
    requests.begin('begun', { statusCode: 206, headersSent: true });
    requests.writeUnfinished('entry');
    expect(log.events).toMatchSnapshot();
  });
});
