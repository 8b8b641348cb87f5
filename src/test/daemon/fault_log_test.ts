import { expect } from 'chai';
import { logFaults } from '../../daemon/fault_log.js';
import { ProcessEvent } from '../../logs/events.js';
import { reportFault } from '../../runtime/faults.js';
import { takeFaults } from '../faults.js';
import { MemoryLog } from '../logs/memory_log.js';
import { ManualClock } from '../manual_clock.js';

describe('logFaults', () => {
  // Guards against a log, or a pipe, that one fault fills when it repeats thousands of times a second.
  it('logs the first faults of each place, and then one every ten seconds', () => {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const logging = logFaults(log, clock);
    for (let count = 0; count < 1_000; count++) reportFault('flood', new Error('broken'));
    reportFault('other', 'not an Error');
    clock.instant += 10_000;
    reportFault('flood', new Error('broken'));
    logging[Symbol.dispose]();
    expect(takeFaults()).to.have.length(1_002);
    const lines = log.events.map((event) => ProcessEvent.parse(event));
    const logged = lines.map((line) => line.event === 'fault' && `${line.place} ${line.count}`);
    expect(logged).to.deep.equal([
      'flood 1',
      'flood 2',
      'flood 3',
      'flood 4',
      'flood 5',
      'other 1',
      'flood 1001',
    ]);
  });
});
