import { expect } from 'chai';
import { OutcomeError } from '../../contracts.js';
import { Feed } from '../../distribution/feed.js';
import { Reader } from '../../distribution/reader.js';
import { Replica } from '../../distribution/replica.js';
import { PROMPT } from '../../membership/pace.js';
import { type Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { soleReader } from '../../standins/sole_reader.js';
import { FakeTime } from '../fake_time.js';

const READ_MS = 1_500;
const READ_TIMEOUT_MS = 500;
/** Enough for the first read, the first watch and a second without an answer, not for the next watch. */
const BEGUN_MS = 2_100;

/** How the source answers reads that are no watches. */
type Reads = 'answered' | 'refused' | 'silent';

class ScriptedFeed extends Feed {
  readonly repeatsRefused = false;

  reads: Reads = 'answered';

  constructor(private readonly clock: Clock) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    if (this.reads === 'silent') await this.clock.sleepUntil(deadline);
    if (this.reads === 'answered') return true;
    throw new OutcomeError('no answer', { verdict: 'not-run', reason: 'unavailable' });
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    await this.clock.sleepUntil(deadline, signal);
    return true;
  }
}

/** Reads beside the watch, one after the other; resolves to whether there was contact after each. */
async function contactsAfter(reads: readonly Reads[]): Promise<boolean[]> {
  using time = new FakeTime();
  const { clock } = time;
  const feed = new ScriptedFeed(clock);
  const random = new SeededRandom(1);
  const reader = new Reader(feed, new Replica(), soleReader(clock), clock, random, PROMPT);
  const stopping = new AbortController();
  const running = reader.run(stopping.signal);
  await time.advance(BEGUN_MS);
  const contacts: boolean[] = [];
  for (const answer of reads) {
    feed.reads = answer;
    const read = reader.readFor(READ_MS, clock.now() + READ_TIMEOUT_MS);
    await time.advance(answer === 'silent' ? READ_TIMEOUT_MS + 1 : 1);
    await read;
    contacts.push(reader.hasContact);
  }
  stopping.abort();
  await time.advance(2 * PROMPT.watchTimeoutMs);
  await running;
  return contacts;
}

describe('a reader that reads beside its watch', () => {
  // Guards against a reader that knows of a lost source and has nobody read until its watch ends.
  it('has lost contact if the source refuses the read', async () => {
    expect(await contactsAfter(['refused'])).to.deep.equal([false]);
  });

  // Guards against a peer that reads in its place for the rest of the watch when one call was lost.
  it('has contact again when the next read is answered', async () => {
    const contacts = await contactsAfter(['refused', 'refused', 'answered']);
    expect(contacts).to.deep.equal([false, false, true]);
  });

  // Guards against peers that all read a large object because one of them reads it slowly.
  it('does not take a timeout for lost contact', async () => {
    expect(await contactsAfter(['silent', 'answered'])).to.deep.equal([true, true]);
  });
});
