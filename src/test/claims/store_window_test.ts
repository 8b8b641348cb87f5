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

  /** Asks for more than there is place for; tells how many were asked at once. */
  async function round(tookMs: number, isAnswered = true): Promise<number> {
    const deadline = time.clock.now() + 1;
    let places = 0;
    const ask = async () => {
      places += 1;
      await time.clock.sleepUntil(time.clock.now() + tookMs);
      if (!isAnswered) throw new Error('no answer');
    };
    const asks = Array.from({ length: 20 }, () => window.run(deadline, ask).catch(() => {}));
    await time.advance(tookMs + 1);
    await Promise.all(asks);
    return places;
  }

  async function rounds(count: number, tookMs: number, isAnswered = true): Promise<number[]> {
    const places: number[] = [];
    for (let index = 0; index < count; index++) places.push(await round(tookMs, isAnswered));
    return places;
  }

  /*
   * The platform slows down and then fails. Without the window each process would keep hundreds of
   * claims waiting that are too late for their callers when they are written.
   */
  it('grows while answers are quick, shrinks when they are slow, and pauses without any', async () => {
    const quick = await rounds(8, 5);
    const slow = await rounds(6, 200);
    const failing = await rounds(4, 1_000, false);
    await time.advance(5_000);
    const again = await rounds(8, 5);
    expect({ quick, slow, failing, again }).toMatchSnapshot();
  });

  /* A burst of bookings reaches one process. It waits for a few rounds instead of being refused. */
  it('lets a burst wait for its turn', async () => {
    const deadline = time.clock.now() + 1_000;
    const ask = () => time.clock.sleepUntil(time.clock.now() + 4);
    const burst = Promise.all(Array.from({ length: 40 }, () => window.run(deadline, ask)));
    await time.advance(100);
    expect(await burst).to.have.length(40);
  });
});
