import { expect } from 'chai';
import { type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { MsgpackCodec } from '../../link/codec.js';
import { MAX_FRAME_BYTES, TcpLink } from '../../link/tcp_link.js';

const HEADER_BYTES = 4;

/** A link whose far end is the test: it receives what is written to `wire`. */
function linkOver(wire: PassThrough): TcpLink {
  return new TcpLink(Object.assign(wire, { setNoDelay: () => {} }) as unknown as Socket, codec);
}

const codec = new MsgpackCodec();

function frame(message: unknown, length?: number): Buffer {
  const payload = codec.encode(message);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(length ?? payload.length);
  return Buffer.concat([header, payload]);
}

describe('TcpLink', () => {
  it('reassembles frames however they are split', async () => {
    const wire = new PassThrough();
    await using link = linkOver(wire);
    const received: unknown[] = [];
    link.receive((message) => received.push(message));
    for (const byte of Buffer.concat([frame('one'), frame({ two: 2 })]))
      wire.write(Buffer.of(byte));
    await new Promise(setImmediate);
    expect(received).to.deep.equal(['one', { two: 2 }]);
  });

  // Guards against buffering a frame of any announced length, and against accepting what follows
  // bytes that are not a message.
  it('closes on a frame that is too long and on one that cannot be decoded', async () => {
    for (const bytes of [frame('', MAX_FRAME_BYTES + 1), Buffer.of(0, 0, 0, 1, 0xc1)]) {
      const wire = new PassThrough();
      await using link = linkOver(wire);
      wire.write(bytes);
      await new Promise(setImmediate);
      expect(link.closed.aborted).to.equal(true);
    }
  });

  it('refuses to send a message on which the far end would close the link', async () => {
    await using link = linkOver(new PassThrough());
    expect(() => link.send('x'.repeat(MAX_FRAME_BYTES + 1))).to.throw('are allowed');
    expect(link.closed.aborted).to.equal(false);
  });
});
