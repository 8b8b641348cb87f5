import { expect } from 'chai';
import { type Heavy, Uplink, PIECE_BYTES } from '../../admission/uplink.js';
import { asOutcome, type OutcomeError } from '../../contracts.js';
import { FakeTime } from '../fake_time.js';

const KBPS = 8_000;
const BYTES = 90_000;
const TARGET_MS = 1_000;
/** Downloads that the whole link carries until the target. */
const CARRIED = ((KBPS / 8) * TARGET_MS) / BYTES;
/** So much of the link has to be used until then, at least. */
const USED_SHARE = 0.5;

describe('Uplink', () => {
  let time: FakeTime;
  let uplink: Uplink;

  beforeEach(() => {
    time = new FakeTime();
    uplink = new Uplink(time.clock, KBPS);
  });

  afterEach(() => time[Symbol.dispose]());

  const heavy = (targetMs: number, deadlineMs = 5_000): Heavy => {
    const now = time.clock.now();
    return { bytes: BYTES, heldMs: 50, targetAt: now + targetMs, deadline: now + deadlineMs };
  };

  const refusal = (asked: Heavy): OutcomeError | undefined => {
    try {
      uplink.admit(asked);
      return undefined;
    } catch (error) {
      return asOutcome(error);
    }
  };

  const depart = async (bytes: number, order: string[], name: string): Promise<void> => {
    using departure = uplink.depart(bytes);
    for (let left = bytes; left > 0; left -= PIECE_BYTES) {
      await departure.turn(Math.min(left, PIECE_BYTES));
    }
    order.push(name);
  };

  // Each download takes about 0.1 s of the link, and slots are free. What would leave after its target
  // is not begun: it would be late, and take the place of one who can still be in time.
  it('refuses, not run, what would leave too late, and says when to come back', () => {
    const refusals = Array.from({ length: 20 }, () => refusal(heavy(TARGET_MS)));
    const admitted = refusals.filter((refused) => refused === undefined).length;
    expect(admitted).to.be.within(CARRIED * USED_SHARE, CARRIED);
    const { verdict, reason, retryAt } = refusal(heavy(TARGET_MS))!;
    expect({ verdict, reason }).to.deep.equal({ verdict: 'not-run', reason: 'overloaded' });
    expect(retryAt! - time.clock.now()).to.be.within(20, 200);
  });

  it('begins late answers only where the link is not contested', () => {
    expect(refusal(heavy(-1))).to.equal(undefined);
    for (let index = 0; index < 5; index++) expect(refusal(heavy(TARGET_MS))).to.equal(undefined);
    expect(refusal(heavy(-1))?.reason).to.equal('overloaded');
  });

  it('lets the first promised leave first, and all of them leave', async () => {
    const order: string[] = [];
    const all = ['first', 'second', 'third'].map((name) => depart(BYTES, order, name));
    await time.advance(1_000);
    await Promise.all(all);
    expect(order).to.deep.equal(['first', 'second', 'third']);
    expect(uplink.backlogMs).to.equal(0);
  });

  // A caller goes away while its download waits. The place goes to the next, or the link would
  // count bytes for ever that nobody sends, and in the end refuse everything.
  it('forgets what was promised to answers that are not sent', async () => {
    const gone = uplink.admit(heavy(TARGET_MS));
    void gone.turn(PIECE_BYTES);
    void gone.turn(PIECE_BYTES);
    gone[Symbol.dispose]();
    gone.resize(BYTES);
    await time.advance(100);
    expect(uplink.backlogMs).to.equal(0);
  });

  it('holds back nothing where the rate of the link is not known', async () => {
    const unknown = new Uplink(time.clock);
    for (let index = 0; index < 1_000; index++) unknown.admit(heavy(1));
    await unknown.depart(BYTES).turn(BYTES);
    expect(unknown.backlogMs).to.equal(0);
  });

  // Guards against a promise that outlives its answer: the link would look full for good.
  it('takes back what was promised to an answer that turns out light', () => {
    const promised = uplink.depart(BYTES);
    expect(uplink.begin(1_000, promised)).to.equal(undefined);
    expect(uplink.backlogMs).to.be.below(5);
  });

  it('gives a heavy answer the place that was promised, or one of its own', () => {
    const promised = uplink.depart(BYTES);
    expect(uplink.begin(2 * BYTES, promised)).to.equal(promised);
    expect(uplink.backlogMs).to.be.closeTo((2 * BYTES * 8) / KBPS / 0.93, 1);
    expect(uplink.begin(BYTES)).not.to.equal(undefined);
  });
});
