import { expect } from 'chai';
import { OutcomeError } from '../../contracts.js';
import { type Log } from '../../logs/log.js';
import { type RequestEnd, RequestLog } from '../../logs/request_log.js';
import { FakeTime } from '../fake_time.js';
import { MemoryLog } from './memory_log.js';

const RESENT = { event: 'resent', endpoint: 'arima-2', isFailover: true, startMs: 0 } as const;
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

  it('writes the decisions at the instants when they were made, once the end is known', async () => {
    const log = new MemoryLog('debug');
    const startedAt = time.clock.now();
    const trace = logOf(log).begin('r-1');
    await time.advance(5);
    trace.note(RESENT);
    expect(log.lines).to.deep.equal([]);
    await time.advance(7);
    trace.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    expect(log.lines.map((line) => ({ ...line, at: line.at - startedAt }))).toMatchSnapshot();
  });

  // Thousands are served in a second and one is not. Lines of served ones are a sample; the one
  // that failed must be there whole, with what was decided about it before it was known to fail.
  it('bounds the lines of served requests and not with them those of a failed one', () => {
    const log = new MemoryLog('debug');
    const requests = logOf(log);
    for (let count = 0; count < 1_000; count++) {
      requests.begin(`ok-${count}`).answered('entry-ended', { statusCode: 200 });
    }
    const failed = requests.begin('failed');
    failed.note(RESENT);
    failed.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    expect(log.lines.filter(({ level }) => level === 'debug')).to.have.length(20);
    expect(log.lines.filter(({ level }) => level === 'warn')).to.have.length(2);
    expect(requests.leftOut).to.equal(980);
    expect(ended, 'metrics count all').to.have.length(1_001);
  });

  // Guards against lines taking the processor time of the requests that they tell of.
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

  // Overload refuses a thousand requests in a second, each after several attempts. Of some the
  // whole story is written and of more how they ended, so that the lines cost less than the work.
  it('writes a storm of refusals up to two bounds', () => {
    const log = new MemoryLog('warn');
    const requests = logOf(log);
    for (let count = 0; count < 1_000; count++) {
      const trace = requests.begin(`no-${count}`);
      trace.note(RESENT);
      trace.failed('entry-ended', { statusCode: 503 }, OVERLOADED, false);
    }
    expect(log.lines).to.have.length(20 * 2 + 200);
    expect(requests.leftOut).to.equal(780);
  });

  it('keeps the first and the last decisions of a request that was sent again and again', () => {
    const log = new MemoryLog('warn');
    const trace = logOf(log).begin('r-1');
    for (let startMs = 0; startMs < 100; startMs++) trace.note({ ...RESENT, startMs });
    trace.failed('entry-ended', { statusCode: 502 }, OVERLOADED, false);
    expect(log.lines).to.have.length(24);
    expect(log.lines[0]?.event).to.deep.include({ startMs: 0 });
    expect(log.lines.at(-2)?.event).to.deep.include({ startMs: 99 });
  });

  // The head of the answer had gone out when the connection broke: the caller has a part of it.
  // "Not run" or "may have run" of the error would hide that.
  it('calls an answer that was cut by that name', () => {
    const log = new MemoryLog('warn');
    const trace = logOf(log).begin('r-1');
    trace.failed('entry-ended', { statusCode: 200 }, OVERLOADED, true);
    expect(log.lines[0]?.event).to.deep.include({ verdict: 'cut', status: 200 });
  });
});
