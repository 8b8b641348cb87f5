import { expect } from 'chai';
import { type Member } from '../../contracts.js';
import { type Mesh } from '../../distribution/mesh.js';
import { MsgpackCodec } from '../../link/codec.js';
import { Methods, Peer } from '../../link/peer.js';
import { Reconciliation } from '../../membership/reconciliation.js';
import { Roster } from '../../membership/roster.js';
import { SeededRandom } from '../../runtime/random.js';
import { Gate } from '../../standins/gate.js';
import { MemoryLink, noFaults } from '../../standins/memory_link.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from './member.js';
import { CountingCodec } from './traffic.js';

const FLEET = 740;
const HEARTBEATS = 2;
const END = { gate: new Gate(), isCut: () => false };

/** Two linked processes that run reconciliation only. */
class Pair implements Disposable {
  readonly time = new FakeTime();

  readonly codec = new CountingCodec();

  readonly one = new Roster(memberOf('one'));

  readonly other = new Roster(memberOf('other'));

  readonly #peers: Peer[] = [];

  readonly #tasks: Reconciliation[] = [];

  constructor() {
    const { clock } = this.time;
    const random = new SeededRandom(1);
    const wire = { clock, random, codec: this.codec, faults: noFaults() };
    const [near, far] = MemoryLink.pair(wire, END, END);
    this.#add(this.one, near, this.other);
    this.#add(this.other, far, this.one);
  }

  /** Gives `one` heartbeats with the roster hash of `other`, and time to reconcile. */
  async reconcile(): Promise<void> {
    await this.time.advance(5_000);
    const [peer] = this.#peers;
    for (let beat = 0; beat < HEARTBEATS; beat++) this.#tasks[0]!.compare(peer!, this.other.hash);
    await this.time.advance(1_000);
  }

  [Symbol.dispose](): void {
    this.time[Symbol.dispose]();
  }

  #add(roster: Roster, link: Peer['link'], far: Roster): void {
    const { clock } = this.time;
    const methods = new Methods();
    const mesh = { onOpen: () => {} } as unknown as Mesh;
    const random = new SeededRandom(1);
    this.#tasks.push(new Reconciliation(roster, mesh, clock, random, methods));
    const peer = new Peer(link, methods, clock);
    peer.isDialled = true;
    peer.hello = { member: far.self, version: 0, digest: '', isReady: true };
    this.#peers.push(peer);
  }
}

function fleet(): Member[] {
  return Array.from({ length: FLEET }, (_, index) =>
    memberOf(`bookings-${index}`, { incarnation: 1_790_000_000_000 }),
  );
}

describe('Reconciliation', () => {
  it('sends only differing records instead of two whole rosters', async () => {
    using pair = new Pair();
    const members = fleet();
    pair.one.merge(members);
    pair.other.merge(members);
    await pair.reconcile();
    const before = pair.codec.bytes;
    pair.one.merge([memberOf('bookings-1', { incarnation: 1_790_000_000_001 })]);
    pair.other.merge([memberOf('bookings-2', { incarnation: 1_790_000_000_002 })]);
    await pair.reconcile();
    expect(pair.one.hash).to.equal(pair.other.hash);
    const whole = 2 * new MsgpackCodec().encode(members).length;
    const differing = pair.codec.bytes - before;
    expect(differing).to.be.below(whole / 50);
    expect({ differing, whole }).toMatchSnapshot();
  });

  // Guards against a process that returns from a partition with all others dead in its roster: it
  // must neither take work from live members nor bring back dead ones that others have removed.
  it('turns deaths into suspicions, and does not send dead members that the other end lacks', async () => {
    using pair = new Pair();
    pair.one.merge([memberOf('b'), memberOf('c', { liveness: 'left' })]);
    pair.other.merge([memberOf('b', { liveness: 'dead' }), memberOf('d', { liveness: 'dead' })]);
    await pair.reconcile();
    expect(pair.one.get('b')!.liveness).to.equal('suspect');
    expect(pair.other.get('b')!.liveness).to.equal('dead');
    expect([pair.one.get('d'), pair.other.get('c')]).to.eql([undefined, undefined]);
  });
});
