import { expect } from 'chai';
import * as z from 'zod';
import { Link } from '../../link/link.js';
import { type Method, Methods, notifyAll, Peer } from '../../link/peer.js';
import { MachineClock } from '../../runtime/clock.js';
import { memberOf } from '../membership/member.js';

const NEWS: Method<number, unknown> = { name: 'news', params: z.number(), result: z.unknown() };

/** The near end of a link: records what is sent, and the test delivers what arrives. */
class RecordingLink extends Link {
  readonly sent: unknown[] = [];

  readonly bytesSent = 0;

  readonly bytesReceived = 0;

  readonly #closing = new AbortController();

  deliver: (message: unknown) => void = () => {};

  get closed(): AbortSignal {
    return this.#closing.signal;
  }

  send(message: unknown): void {
    this.sent.push(message);
  }

  receive(receiver: (message: unknown) => void): void {
    this.deliver = receiver;
  }

  close(): void {
    this.#closing.abort();
  }
}

function introducedPeer(received: number[]): { peer: Peer; link: RecordingLink } {
  const link = new RecordingLink();
  const methods = new Methods().on(NEWS, (_, news) => void received.push(news));
  const peer = new Peer(link, methods, new MachineClock());
  const member = memberOf('arima-1');
  peer.hello = { member, version: 0, digest: '', isReady: true };
  return { peer, link };
}

describe('Peer', () => {
  // Guards against an invalid notification that ends the process or closes the link.
  it('ignores an invalid notification and handles the next', () => {
    const received: number[] = [];
    const { peer, link } = introducedPeer(received);
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 'not a number' });
    link.deliver({ jsonrpc: '2.0', method: 'unheard-of', params: 1 });
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 2 });
    expect(received).to.deep.equal([2]);
    expect(peer.link.closed.aborted).to.equal(false);
  });

  // Guards against a value that is not a message and ends the process.
  it('ignores values that are not messages', () => {
    const received: number[] = [];
    const { link } = introducedPeer(received);
    for (const message of [null, undefined, 7, 'text', [], {}]) link.deliver(message);
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 1 });
    expect(received).to.deep.equal([1]);
  });

  // Guards against a message too long for a frame that ends the task sending it.
  it('continues with the next peer when a message is too long to be sent', () => {
    const ends = [introducedPeer([]), introducedPeer([])];
    ends[0]!.link.send = () => {
      throw new Error('too long');
    };
    const peers = ends.map(({ peer }) => peer);
    expect(() => notifyAll(peers, NEWS, 7)).not.to.throw();
    expect(ends[1]!.link.sent).to.have.length(1);
  });

  it('handles notifications in order of arrival', () => {
    const received: number[] = [];
    const { link } = introducedPeer(received);
    for (const params of [1, 2, 3]) link.deliver({ jsonrpc: '2.0', method: 'news', params });
    expect(received).to.deep.equal([1, 2, 3]);
  });

  // Guards against one closed link that keeps a heartbeat from all other peers.
  it('sends the same notification over all open links', () => {
    const ends = [introducedPeer([]), introducedPeer([]), introducedPeer([])];
    ends[1]!.link.close();
    notifyAll(
      ends.map(({ peer }) => peer),
      NEWS,
      7,
    );
    expect(ends.map(({ link }) => link.sent.length)).to.deep.equal([1, 0, 1]);
    expect(ends[0]!.link.sent[0]).to.equal(ends[2]!.link.sent[0]);
  });
});
