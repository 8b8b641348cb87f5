import { expect } from 'chai';
import { deflateRawSync } from 'node:zlib';
import { JsonCodec, MsgpackCodec } from '../../link/codec.js';
import { LongMessageCodec } from '../../link/long_message_codec.js';

const MAX_BYTES = 100_000;
const inner = new MsgpackCodec();
const codec = new LongMessageCodec(inner, MAX_BYTES);
const LONG = { routes: Array.from({ length: 1_000 }, (_, index) => ({ name: `r-${index}` })) };

describe('LongMessageCodec', () => {
  it('round-trips a long message, compressed once for several links', () => {
    const bytes = codec.encode(LONG);
    expect(codec.encode(LONG)).to.equal(bytes);
    expect(codec.decode(bytes)).to.deep.equal(LONG);
    expect(bytes.length * 2).to.be.lessThan(inner.encode(LONG).length);
  });

  it('does not change a short message', () => {
    const message = { method: 'hb', params: [300, 'c0ffee00', 'z'] };
    expect(codec.encode(message)).to.deep.equal(inner.encode(message));
    expect(codec.decode(inner.encode(message))).to.deep.equal(message);
  });

  it('tells compressed messages from uncompressed ones of either inner codec', () => {
    for (const below of [new MsgpackCodec(), new JsonCodec()]) {
      const long = new LongMessageCodec(below, MAX_BYTES);
      expect(long.decode(long.encode(LONG))).to.deep.equal(LONG);
      expect(long.decode(below.encode(LONG))).to.deep.equal(LONG);
    }
  });

  // Guards against a message of a few bytes that decompresses to more memory than a process has.
  it('throws on a message that decompresses beyond the limit and on invalid bytes', () => {
    // eslint-disable-next-line n/no-sync -- As the codec does it.
    const bomb = deflateRawSync(inner.encode('0'.repeat(2 * MAX_BYTES)));
    expect(() => codec.decode(Buffer.concat([Buffer.of(1), bomb]))).to.throw(RangeError);
    expect(() => codec.decode(Buffer.of(1, 255, 255))).to.throw();
  });
});
