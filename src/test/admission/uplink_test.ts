import { expect } from 'chai';
import { type LargeAnswer, Uplink, PIECE_BYTES } from '../../admission/uplink.js';
import { asOutcome, type OutcomeError } from '../../contracts.js';
import { FakeTime } from '../fake_time.js';

const KBPS = 8_000;
const BYTES = 90_000;
const TARGET_MS = 1_000;
/** Number of downloads that the full link rate allows until the target. */
const MAX_CARRIED = ((KBPS / 8) * TARGET_MS) / BYTES;
/** Minimum share of these that must be admitted. */
const MIN_USED_SHARE = 0.5;

describe('Uplink', () => {
  let time: FakeTime;
  let uplink: Uplink;

  beforeEach(() => {
    time = new FakeTime();
    uplink = new Uplink(time.clock, KBPS);
  });

  afterEach(() => time[Symbol.dispose]());

  const largeAnswer = (targetMs: number, deadlineMs = 5_000): LargeAnswer => {
    const now = time.clock.now();
    return { bytes: BYTES, heldMs: 50, targetAt: now + targetMs, deadline: now + deadlineMs };
  };

  const refusal = (asked: LargeAnswer): OutcomeError | undefined => {
    try {
      uplink.admit(asked);
      return undefined;
    } catch (error) {
      return asOutcome(error);
    }
  };

  const sendAnswer = async (bytes: number, order: string[], name: string): Promise<void> => {
    using reservation = uplink.reserve(bytes);
    for (let left = bytes; left > 0; left -= PIECE_BYTES) {
      await reservation.waitForTurn(Math.min(left, PIECE_BYTES));
    }
    order.push(name);
  };

  // Each download takes about 0.1 s of the link, and slots are free. Guards against starting one that
  // would be sent after its target, and would delay another that can be in time.
  it('refuses answers that would be sent too late, as not run, and says when to retry', () => {
    const refusals = Array.from({ length: 20 }, () => refusal(largeAnswer(TARGET_MS)));
    const admitted = refusals.filter((refused) => refused === undefined).length;
    expect(admitted).to.be.within(MAX_CARRIED * MIN_USED_SHARE, MAX_CARRIED);
    const { verdict, reason, retryAt } = refusal(largeAnswer(TARGET_MS))!;
    expect({ verdict, reason }).to.deep.equal({ verdict: 'not-run', reason: 'overloaded' });
    expect(retryAt! - time.clock.now()).to.be.within(20, 200);
  });

  it('admits late answers only while answers in time do not compete for the link', () => {
    expect(refusal(largeAnswer(-1))).to.equal(undefined);
    for (let index = 0; index < 5; index++)
      expect(refusal(largeAnswer(TARGET_MS))).to.equal(undefined);
    expect(refusal(largeAnswer(-1))?.reason).to.equal('overloaded');
  });

  it('sends all answers in the order of their reservations', async () => {
    const order: string[] = [];
    const all = ['first', 'second', 'third'].map((name) => sendAnswer(BYTES, order, name));
    await time.advance(1_000);
    await Promise.all(all);
    expect(order).to.deep.equal(['first', 'second', 'third']);
    expect(uplink.backlogMs).to.equal(0);
  });

  // Guards against a reservation that stays when a caller disconnects before its download is sent:
  // the link would count bytes that nobody sends, and in the end refuse everything.
  it('releases the reservations of answers that are not sent', async () => {
    const gone = uplink.admit(largeAnswer(TARGET_MS));
    void gone.waitForTurn(PIECE_BYTES);
    void gone.waitForTurn(PIECE_BYTES);
    gone[Symbol.dispose]();
    gone.resize(BYTES);
    await time.advance(100);
    expect(uplink.backlogMs).to.equal(0);
  });

  it('delays and refuses nothing if the rate of the link is not known', async () => {
    const unknown = new Uplink(time.clock);
    for (let index = 0; index < 1_000; index++) unknown.admit(largeAnswer(1));
    await unknown.reserve(BYTES).waitForTurn(BYTES);
    expect(unknown.backlogMs).to.equal(0);
  });

  // Guards against a reservation that outlives its answer: the link would look full forever.
  it('releases the reservation of an answer that turns out to be small', () => {
    const promised = uplink.reserve(BYTES);
    expect(uplink.schedule(1_000, promised)).to.equal(undefined);
    expect(uplink.backlogMs).to.be.below(5);
  });

  it('keeps the reservation of a large answer, or makes one if it has none', () => {
    const promised = uplink.reserve(BYTES);
    expect(uplink.schedule(2 * BYTES, promised)).to.equal(promised);
    expect(uplink.backlogMs).to.be.closeTo((2 * BYTES * 8) / KBPS / 0.93, 1);
    expect(uplink.schedule(BYTES)).not.to.equal(undefined);
  });

  // Guards against responses that a process which ends holds back.
  it('starts all that waits once it is released, and paces nothing after that', async () => {
    const order: string[] = [];
    const sent = [sendAnswer(BYTES, order, 'first'), sendAnswer(BYTES, order, 'second')];
    await time.advance(1);
    expect(order).to.deep.equal([]);
    uplink.release();
    await Promise.all(sent);
    await sendAnswer(BYTES, order, 'third');
    expect([order, uplink.backlogMs]).to.deep.equal([['first', 'second', 'third'], 0]);
  });
});
