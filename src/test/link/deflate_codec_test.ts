import { expect } from 'chai';
import { deflateRawSync } from 'node:zlib';
import { MsgpackCodec } from '../../link/codec.js';
import { DeflateCodec } from '../../link/deflate_codec.js';

const MAX_BYTES = 10_000;
const inner = new MsgpackCodec();
const codec = new DeflateCodec(inner, MAX_BYTES);

describe('DeflateCodec', () => {
  it('compresses what is long and alike, and gives it back', () => {
    const message = {
      versions: Array.from({ length: 50 }, (_, index) => ({ name: `u-${index}` })),
    };
    const bytes = codec.encode(message);
    expect(codec.decode(bytes)).to.deep.equal(message);
    expect([inner.encode(message).length, bytes.length]).toMatchSnapshot();
  });

  it('leaves a short message as it is, but for one byte', () => {
    const message = ['hb', 300, 'c0ffee00', 'z'];
    const bytes = codec.encode(message);
    expect(bytes.length).to.equal(inner.encode(message).length + 1);
    expect(codec.decode(bytes)).to.deep.equal(message);
  });

  // A message of a few bytes unpacks to far more than any that is sent. Decoding fails before the
  // memory is taken, and the link closes; so it does for bytes that are no message at all.
  it('throws on what unpacks beyond the bound and on what is no message', () => {
    // eslint-disable-next-line n/no-sync -- The codec's own way.
    const bomb = deflateRawSync(inner.encode('0'.repeat(20 * MAX_BYTES)));
    expect(bomb.length).to.be.lessThan(MAX_BYTES);
    expect(() => codec.decode(Buffer.concat([Buffer.of(1), bomb]))).to.throw(RangeError);
    expect(() => codec.decode(Buffer.of(7, 1, 2))).to.throw('unknown kind of message: 7');
    expect(() => codec.decode(Buffer.of(1, 255, 255))).to.throw();
  });
});
