import { expect } from 'chai';
import { type DroppedLines, LineBuffer } from '../../logs/line_buffer.js';
import { Sink } from '../../logs/sink.js';
import { FakeTime } from '../fake_time.js';

const AFTER_FLUSH_MS = 250;

/** A reader that reads when it is told to. */
class ManualSink extends Sink {
  readonly texts: string[] = [];

  readonly #waiting: { read: () => void; close: (error: Error) => void }[] = [];

  write(text: string): Promise<void> {
    this.texts.push(text);
    return new Promise((resolve, reject) => {
      this.#waiting.push({ read: resolve, close: reject });
    });
  }

  read(): void {
    this.#waiting.shift()?.read();
  }

  close(): void {
    this.#waiting.shift()?.close(new Error('EPIPE'));
  }
}

describe('LineBuffer', () => {
  let time: FakeTime;
  let sink: ManualSink;
  let unsaid: DroppedLines[];

  beforeEach(() => {
    time = new FakeTime();
    sink = new ManualSink();
    unsaid = [];
  });

  afterEach(() => time[Symbol.dispose]());

  function bufferOf(capacity: number): LineBuffer {
    return new LineBuffer(sink, time.clock, (dropped) => unsaid.push(dropped), capacity);
  }

  it('writes lines together, after a moment', async () => {
    const buffer = bufferOf(1_000);
    buffer.write('one\n', false);
    buffer.write('two\n', true);
    expect(sink.texts).to.deep.equal([]);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['one\ntwo\n']);
  });

  // Somebody looks for the cause of a failure while the collector stands still. Lines of requests
  // that were served fill the room first; the one that tells of the failure must still go in.
  it('keeps failures in preference to successes when the reader stops reading', async () => {
    const buffer = bufferOf(20);
    for (const line of ['ok 1\n', 'ok 2\n', 'ok 3\n', 'ok 4\n']) buffer.write(line, true);
    buffer.write('fail 1\n', false);
    buffer.write('a long line of a failure\n', false);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['ok 1\nok 2\nfail 1\n']);
    expect(buffer.dropped).to.deep.equal({ routine: 2, important: 1 });
    expect(unsaid, 'nothing can be said while nobody reads').to.deep.equal([]);
    sink.read();
    await time.advance(1);
    expect(unsaid).to.deep.equal([{ routine: 2, important: 1 }]);
  });

  // Two processes write to one pipe. Of a write above its atomic size, a part would land inside a
  // line of the other process, and neither line could be read any more.
  it('writes whole lines, and no more at a time than a pipe takes in one piece', async () => {
    const buffer = bufferOf(100_000);
    const line = `${'x'.repeat(1_500)}\n`;
    for (let count = 0; count < 5; count++) buffer.write(line, false);
    await time.advance(AFTER_FLUSH_MS);
    sink.read();
    await time.advance(1);
    sink.read();
    await time.advance(1);
    expect(sink.texts.map((text) => text.length)).to.deep.equal([3_002, 3_002, 1_501]);
  });

  // The collector is gone for good. The process must neither stop nor gather lines for ever.
  it('counts what nobody took, and goes on', async () => {
    const buffer = bufferOf(1_000);
    buffer.write('one\n', false);
    await time.advance(AFTER_FLUSH_MS);
    sink.close();
    buffer.write('two\n', true);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['one\n', 'two\n']);
    expect(buffer.dropped).to.deep.equal({ routine: 0, important: 1 });
  });

  // A process stops while the collector stands still: its end must not wait for that.
  it('waits for the reader until the deadline of a stop only', async () => {
    const buffer = bufferOf(1_000);
    buffer.write('last\n', false);
    let isDrained = false;
    void buffer.drain(time.clock.now() + 100).then(() => {
      isDrained = true;
    });
    await time.advance(90);
    expect(isDrained).to.equal(false);
    await time.advance(20);
    expect(isDrained).to.equal(true);
    expect(sink.texts).to.deep.equal(['last\n']);
  });
});
