import { expect } from 'chai';
import { RequestLog } from '../../logs/request_log.js';
import { MachineClock } from '../../runtime/clock.js';
import { MemoryLog } from '../logs/memory_log.js';
import { Path } from './path.js';

/** Whether each request, in the order in which they ended, was taken for one that came back. */
function returnsIn({ events }: MemoryLog): boolean[] {
  return events.flatMap((event) =>
    event.event === 'routed' ? [event.waitedMs !== undefined] : [],
  );
}

/** Stands still until it is moved, so that a slow machine changes nothing. */
class FrozenClock extends MachineClock {
  instant = 1_000_000_000_000;

  override now(): number {
    return this.instant;
  }
}

describe('Entry, with callers who come back', () => {
  // Nobody serves what a caller asks for: it is refused, and asks again for the same with what is
  // left of its time. Its target counts from the first attempt. Somebody else who asks for the same
  // page until another instant, and who asks for another page, have just come.
  it('knows a caller again whom it has refused, and nobody else', async () => {
    const clock = new FrozenClock();
    await using path = await Path.start(1, clock);
    const log = new MemoryLog();
    path.entry.requestLog = new RequestLog(log, clock);
    const ask = (target: string, waitMs: number) =>
      path.ask({ path: target, headers: { 'request-timeout-ms': String(waitMs) } });
    await ask('/nobody/1', 8_000);
    clock.instant += 600;
    await ask('/nobody/1', 7_400);
    await ask('/nobody/1', 8_000);
    await ask('/nobody/2', 7_400);
    expect(returnsIn(log)).to.deep.equal([false, true, false, false]);
  });

  it('takes nobody for a caller who does not say how long it waits', async () => {
    await using path = await Path.start(1);
    const log = new MemoryLog();
    path.entry.requestLog = new RequestLog(log, path.clock);
    await path.ask({ path: '/nobody/1' });
    await path.ask({ path: '/nobody/1' });
    expect(returnsIn(log)).to.deep.equal([false, false]);
  });
});
