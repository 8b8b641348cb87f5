import { expect } from 'chai';
import { RequestLog } from '../../logs/request_log.js';
import { MachineClock } from '../../runtime/clock.js';
import { MemoryLog } from '../logs/memory_log.js';
import { TestPath } from './test_path.js';

/** Whether each request, in the order of their ends, was recognized as a retry. */
function recognizedRetries({ events }: MemoryLog): boolean[] {
  return events.flatMap((event) =>
    event.event === 'routed' ? [event.waitedMs !== undefined] : [],
  );
}

/** A clock that is moved by hand, so that the speed of the machine does not matter. */
class FrozenClock extends MachineClock {
  instant = 1_000_000_000_000;

  override now(): number {
    return this.instant;
  }
}

describe('Entry with returning callers', () => {
  // Guards against retries of a refused caller that count as new requests, and against other callers,
  // with another deadline or another path, that count as its retries.
  it('recognizes a refused caller that retries, and no other', async () => {
    const clock = new FrozenClock();
    await using path = await TestPath.start(1, clock);
    const log = new MemoryLog();
    path.entry.requestLog = new RequestLog(log, clock);
    const ask = (target: string, waitMs: number) =>
      path.ask({ path: target, headers: { 'request-timeout-ms': String(waitMs) } });
    await ask('/nobody/1', 8_000);
    clock.instant += 600;
    await ask('/nobody/1', 7_400);
    await ask('/nobody/1', 8_000);
    await ask('/nobody/2', 7_400);
    expect(recognizedRetries(log)).to.deep.equal([false, true, false, false]);
  });

  it('recognizes no caller that sends no timeout', async () => {
    await using path = await TestPath.start(1);
    const log = new MemoryLog();
    path.entry.requestLog = new RequestLog(log, path.clock);
    await path.ask({ path: '/nobody/1' });
    await path.ask({ path: '/nobody/1' });
    expect(recognizedRetries(log)).to.deep.equal([false, false]);
  });
});
