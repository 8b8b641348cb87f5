import { expect } from 'chai';
import { StoreWindow } from '../../claims/store_window.js';
import { SeededRandom } from '../../runtime/random.js';
import { FakeTime } from '../fake_time.js';

describe('StoreWindow', () => {
  let time: FakeTime;
  let window: StoreWindow;

  beforeEach(() => {
    time = new FakeTime();
    window = new StoreWindow(time.clock, new SeededRandom(4));
  });

  afterEach(() => time[Symbol.dispose]());

  /** Requests more than the window allows; resolves to the number of calls started. */
  async function round(tookMs: number, isAnswered = true): Promise<number> {
    const deadline = time.clock.now() + 1;
    let started = 0;
    const call = async () => {
      started += 1;
      await time.clock.sleepUntil(time.clock.now() + tookMs);
      if (!isAnswered) throw new Error('no answer');
    };
    const calls = Array.from({ length: 20 }, () => window.run(deadline, call).catch(() => {}));
    await time.advance(tookMs + 1);
    await Promise.all(calls);
    return started;
  }

  async function rounds(count: number, tookMs: number, isAnswered = true): Promise<number[]> {
    const started: number[] = [];
    for (let index = 0; index < count; index++) started.push(await round(tookMs, isAnswered));
    return started;
  }

  /*
   * The platform slows down and then fails. Without the window each process would queue hundreds of
   * claims that are written too late for their callers.
   */
  it('grows on fast answers, shrinks on slow ones, and pauses when a call gets none', async () => {
    const fast = await rounds(8, 5);
    const slow = await rounds(6, 200);
    const failing = await rounds(4, 1_000, false);
    await time.advance(5_000);
    const again = await rounds(8, 5);
    expect({ quick: fast, slow, failing, again }).toMatchSnapshot();
  });

  /* A burst of bookings at one process exceeds the window: it must not be refused for that. */
  it('queues a burst instead of refusing it', async () => {
    const deadline = time.clock.now() + 1_000;
    const call = () => time.clock.sleepUntil(time.clock.now() + 4);
    const burst = Promise.all(Array.from({ length: 40 }, () => window.run(deadline, call)));
    await time.advance(100);
    expect(await burst).to.have.length(40);
  });
});
