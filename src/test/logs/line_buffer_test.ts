import { expect } from 'chai';
import { type DroppedLines, LineBuffer } from '../../logs/line_buffer.js';
import { Sink } from '../../logs/sink.js';
import { FakeTime } from '../fake_time.js';

const AFTER_FLUSH_MS = 250;

/** A sink whose writes end when the test calls `read` or `close`. */
class ManualSink extends Sink {
  readonly texts: string[] = [];

  /** Whether a synchronous write finds room. */
  hasRoom = true;

  readonly #pending: { read: () => void; close: (error: Error) => void }[] = [];

  write(text: string): Promise<void> {
    this.texts.push(text);
    return new Promise((resolve, reject) => {
      this.#pending.push({ read: resolve, close: reject });
    });
  }

  get isWaiting(): boolean {
    return this.#pending.length > 0;
  }

  writeSynchronously(text: string): boolean {
    if (this.hasRoom) this.texts.push(text);
    return this.hasRoom;
  }

  read(): void {
    this.#pending.shift()?.read();
  }

  close(): void {
    this.#pending.shift()?.close(new Error('EPIPE'));
  }
}

describe('LineBuffer', () => {
  let time: FakeTime;
  let sink: ManualSink;
  let reported: DroppedLines[];

  beforeEach(() => {
    time = new FakeTime();
    sink = new ManualSink();
    reported = [];
  });

  afterEach(() => time[Symbol.dispose]());

  function bufferOf(capacity: number): LineBuffer {
    return new LineBuffer(sink, time.clock, (dropped) => reported.push(dropped), capacity);
  }

  it('writes buffered lines in one write after a delay', async () => {
    const buffer = bufferOf(1_000);
    buffer.write('one\n', false);
    buffer.write('two\n', true);
    expect(sink.texts).to.deep.equal([]);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['one\ntwo\n']);
  });

  // Guards against losing the lines about failures while the log collector stalls: the far more
  // frequent lines about served requests would fill the buffer first.
  it('keeps lines about failures rather than successes while the reader stalls', async () => {
    const buffer = bufferOf(20);
    for (const line of ['ok 1\n', 'ok 2\n', 'ok 3\n', 'ok 4\n']) buffer.write(line, true);
    buffer.write('fail 1\n', false);
    buffer.write('a long line of a failure\n', false);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['ok 1\nok 2\nfail 1\n']);
    expect(buffer.dropped).to.deep.equal({ routine: 2, important: 1 });
    expect(reported, 'nothing can be reported while the reader stalls').to.deep.equal([]);
    sink.read();
    await time.advance(1);
    expect(reported).to.deep.equal([{ routine: 2, important: 1 }]);
  });

  // Guards against interleaved lines when two processes write to one pipe: writes above `PIPE_BUF`
  // are not atomic, and neither line could be parsed.
  it('writes whole lines, and no more at a time than a pipe writes atomically', async () => {
    const buffer = bufferOf(100_000);
    const line = `${'€'.repeat(500)}\n`;
    for (let count = 0; count < 5; count++) buffer.write(line, false);
    await time.advance(AFTER_FLUSH_MS);
    sink.read();
    await time.advance(1);
    sink.read();
    await time.advance(1);
    expect(sink.texts.map((text) => Buffer.byteLength(text))).to.deep.equal([3_002, 3_002, 1_501]);
  });

  // Guards against a process that crashes, or buffers lines forever, once its collector is gone.
  it('counts lines of a failed write as dropped, and continues', async () => {
    const buffer = bufferOf(1_000);
    buffer.write('one\n', false);
    await time.advance(AFTER_FLUSH_MS);
    sink.close();
    buffer.write('two\n', true);
    await time.advance(AFTER_FLUSH_MS);
    expect(sink.texts).to.deep.equal(['one\n', 'two\n']);
    expect(buffer.dropped).to.deep.equal({ routine: 0, important: 1 });
  });

  // Guards against a stop that hangs because the collector stalls.
  it('drains until the deadline at most while the reader stalls', async () => {
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

  // Guards against lines that are torn, lost or written twice as the process exits.
  it('writes what waits synchronously, and counts what finds no room', async () => {
    const buffer = bufferOf(100_000);
    const long = `${'x'.repeat(5_000)}\n`;
    buffer.write(long, false);
    await time.advance(AFTER_FLUSH_MS);
    buffer.write('two\n', false);
    expect(buffer.writeSynchronously(time.clock.now())).to.equal(0);
    expect(sink.texts).to.deep.equal([long, '\n', long, 'two\n']);
    sink.read();
    buffer.write('three\n', false);
    buffer.write('four\n', false);
    sink.hasRoom = false;
    expect(buffer.writeSynchronously(time.clock.now())).to.equal(2);
  });
});
