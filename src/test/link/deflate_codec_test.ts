import { expect } from 'chai';
import { deflateRawSync } from 'node:zlib';
import { MsgpackCodec } from '../../link/codec.js';
import { DeflateCodec } from '../../link/deflate_codec.js';

const MAX_BYTES = 10_000;
const inner = new MsgpackCodec();
const codec = new DeflateCodec(inner, MAX_BYTES);

describe('DeflateCodec', () => {
  it('round-trips a long repetitive message in compressed form', () => {
    const message = {
      versions: Array.from({ length: 50 }, (_, index) => ({ name: `u-${index}` })),
    };
    const bytes = codec.encode(message);
    expect(codec.decode(bytes)).to.deep.equal(message);
    expect([inner.encode(message).length, bytes.length]).toMatchSnapshot();
  });

  it('adds only a marker byte to a short message', () => {
    const message = ['hb', 300, 'c0ffee00', 'z'];
    const bytes = codec.encode(message);
    expect(bytes.length).to.equal(inner.encode(message).length + 1);
    expect(codec.decode(bytes)).to.deep.equal(message);
  });

  // Guards against a message of a few bytes that decompresses to more memory than a process has,
  // and against accepting bytes that are not a message.
  it('throws on a message that decompresses beyond the limit and on invalid bytes', () => {
    // eslint-disable-next-line n/no-sync -- As the codec does it.
    const bomb = deflateRawSync(inner.encode('0'.repeat(20 * MAX_BYTES)));
    expect(bomb.length).to.be.lessThan(MAX_BYTES);
    expect(() => codec.decode(Buffer.concat([Buffer.of(1), bomb]))).to.throw(RangeError);
    expect(() => codec.decode(Buffer.of(7, 1, 2))).to.throw('unknown message marker: 7');
    expect(() => codec.decode(Buffer.of(1, 255, 255))).to.throw();
  });
});
