import { expect } from 'chai';
import * as z from 'zod';
import { Link } from '../../link/link.js';
import { type Method, Methods, notifyAll, Peer } from '../../link/peer.js';
import { MachineClock } from '../../runtime/clock.js';
import { memberOf } from '../membership/member.js';

const NEWS: Method<number, unknown> = { name: 'news', params: z.number(), result: z.unknown() };

/** The near end of a link; what is sent is kept, what comes in is the test's. */
class HeldLink extends Link {
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

function introduced(taken: number[]): { peer: Peer; link: HeldLink } {
  const link = new HeldLink();
  const methods = new Methods().on(NEWS, (_, news) => void taken.push(news));
  const peer = new Peer(link, methods, new MachineClock());
  const member = memberOf('arima-1');
  peer.hello = { member, version: 0, digest: '', isReady: true };
  return { peer, link };
}

describe('Peer', () => {
  // Guards against a message that does not fit its schema ending the process or the link.
  it('passes over a notification that does not fit, and takes the next', () => {
    const taken: number[] = [];
    const { peer, link } = introduced(taken);
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 'not a number' });
    link.deliver({ jsonrpc: '2.0', method: 'unheard-of', params: 1 });
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 2 });
    expect(taken).to.deep.equal([2]);
    expect(peer.link.closed.aborted).to.equal(false);
  });

  // Guards against bytes that are no message ending the process.
  it('passes over what is no message at all', () => {
    const taken: number[] = [];
    const { link } = introduced(taken);
    for (const message of [null, undefined, 7, 'text', [], {}]) link.deliver(message);
    link.deliver({ jsonrpc: '2.0', method: 'news', params: 1 });
    expect(taken).to.deep.equal([1]);
  });

  // Guards against a message too long for a frame ending the task that sends it.
  it('goes on when a message is too long to be sent', () => {
    const ends = [introduced([]), introduced([])];
    ends[0]!.link.send = () => {
      throw new Error('too long');
    };
    const peers = ends.map(({ peer }) => peer);
    expect(() => notifyAll(peers, NEWS, 7)).not.to.throw();
    expect(ends[1]!.link.sent).to.have.length(1);
  });

  it('takes notifications in the order in which they came', () => {
    const taken: number[] = [];
    const { link } = introduced(taken);
    for (const params of [1, 2, 3]) link.deliver({ jsonrpc: '2.0', method: 'news', params });
    expect(taken).to.deep.equal([1, 2, 3]);
  });

  // Guards against one closed link keeping a heartbeat from all the others.
  it('sends the same to all whose link is open', () => {
    const ends = [introduced([]), introduced([]), introduced([])];
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
