/** The links of one process: kept to its neighbours, answered from anybody. */
import { setMaxListeners } from 'node:events';
import { type Hello, OutcomeError } from '../contracts.js';
import { type Link } from '../link/link.js';
import { type Methods, Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { Upkeep } from '../membership/upkeep.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Address, type Dialer } from './dialer.js';
import { GOSSIP, HELLO } from './methods.js';

export { type Address, Dialer } from './dialer.js';

const HELLO_TIMEOUT_MS = 2_000;
/** Links accepted per second, and at once after a quiet time; the rest is turned away. */
const ACCEPTED_PER_SECOND = 50;
const ACCEPTED_AT_ONCE = 100;

export class Mesh implements AsyncDisposable {
  readonly #peers = new Map<string, Peer>();

  /** The far ends of all open links, those that have not introduced themselves included. */
  readonly #open = new Set<Peer>();

  readonly #admission: TokenBucket;

  readonly #upkeep: Upkeep;

  readonly #stopping = new AbortController();

  readonly #openListeners = new Set<(peer: Peer) => void>();

  readonly #closeListeners = new Set<(peer: Peer) => void>();

  #turnedAway = 0;

  constructor(
    private readonly roster: Roster,
    ranking: Ranking,
    private readonly methods: Methods,
    private readonly dialer: Dialer,
    private readonly clock: Clock,
    random: Random,
    private readonly hello: () => Hello,
  ) {
    // A wait for each neighbour that is dialled; the default bound would log a warning at ten.
    setMaxListeners(0, this.#stopping.signal);
    this.#admission = new TokenBucket(clock, ACCEPTED_PER_SECOND, ACCEPTED_AT_ONCE);
    this.#upkeep = new Upkeep(this, roster, ranking, clock, random, this.#stopping.signal);
    methods.on(HELLO, (peer, theirs) => {
      this.#opened(peer, theirs);
      return this.hello();
    });
  }

  /** Peers that have introduced themselves. */
  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Links that are open, those that have not introduced themselves included. */
  get linksOpen(): number {
    return this.#open.size;
  }

  /** Links that were turned away because too many came at once. */
  get turnedAway(): number {
    return this.#turnedAway;
  }

  peer(instance: string): Peer | undefined {
    return this.#peers.get(instance);
  }

  onOpen(listener: (peer: Peer) => void): void {
    this.#openListeners.add(listener);
  }

  onClose(listener: (peer: Peer) => void): void {
    this.#closeListeners.add(listener);
  }

  /** Closes links that serve neither end any more, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#upkeep.run(signal);
  }

  /**
   * Answers a link that another process has opened. After a herd's death all others dial at once;
   * a relay that greeted them all would miss its heartbeats and be taken for dead itself. Whoever
   * is turned away comes back later, with jitter, and takes it for no sign of death.
   */
  accept(link: Link): void {
    if (this.#stopping.signal.aborted || !this.#admission.take()) {
      this.#turnedAway += 1;
      link.close();
      return;
    }
    const peer = new Peer(link, this.methods, this.clock);
    this.#watchOver(peer);
    void this.#awaitHello(peer);
  }

  /**
   * Opens a link. Rejects with an `OutcomeError` of reason `unreachable`, or `turned-away` if the
   * far end closed the link before it introduced itself.
   */
  async dial({ host, port }: Address): Promise<Peer> {
    const link = await this.dialer.dial(host, port);
    const peer = new Peer(link, this.methods, this.clock);
    peer.isDialled = true;
    this.#watchOver(peer);
    if (this.#stopping.signal.aborted) link.close();
    try {
      const theirs = await peer.request(HELLO, this.hello(), this.clock.now() + HELLO_TIMEOUT_MS);
      this.#opened(peer, theirs);
      return peer;
    } catch (cause) {
      const reason = link.closed.aborted ? 'turned-away' : 'unreachable';
      link.close();
      throw new OutcomeError(
        `no hello from ${host}:${port}`,
        { verdict: 'not-run', reason },
        {
          cause,
        },
      );
    }
  }

  /** Opens a link to an address from the settings; undefined if nobody is there. */
  async introduce(address: Address): Promise<Peer | undefined> {
    return this.dial(address).catch(() => undefined);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    for (const peer of [...this.#open]) peer.link.close();
  }

  #watchOver(peer: Peer): void {
    this.#open.add(peer);
    peer.link.closed.addEventListener('abort', () => this.#closed(peer), { once: true });
  }

  /** A link on which nobody introduces itself would be kept for good: no heartbeat judges it. */
  async #awaitHello(peer: Peer): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + HELLO_TIMEOUT_MS, peer.link.closed);
    if (!peer.hello) peer.link.close();
  }

  #opened(peer: Peer, hello: Hello): void {
    const { instance } = hello.member;
    if (instance === this.roster.self.instance) {
      // One of the addresses in the settings is often the process's own.
      peer.link.close();
      return;
    }
    peer.hello = hello;
    peer.version = Math.max(peer.version, hello.version);
    if (!this.#enter(peer, hello)) return;
    this.roster.merge([hello.member], { instance });
    this.#contradict(peer);
    for (const listener of this.#openListeners) listener(peer);
  }

  /** A peer that is believed dead, or has a clock behind its earlier life's, must learn of it. */
  #contradict(peer: Peer): void {
    const held = this.roster.get(peer.member!.instance)!;
    const { incarnation } = peer.member!;
    if (held.incarnation > incarnation || held.liveness !== 'alive') {
      peer.notify(GOSSIP, { members: [held] });
    }
  }

  /**
   * Two processes that dial each other at once end up with two links, and each might use another
   * one: both would look silent. The link dialled by the lower instance prevails. Only its dialler
   * closes the other, because it alone knows that both ends have opened the one that stays.
   */
  #enter(peer: Peer, { member }: Hello): boolean {
    const { instance, incarnation } = member;
    const rival = this.#peers.get(instance);
    const isRival = rival && rival !== peer && rival.member?.incarnation === incarnation;
    const lower = this.roster.self.instance < instance;
    const prevails = !isRival || peer.isDialled === lower;
    if (prevails) this.#peers.set(instance, peer);
    if (isRival && lower) (prevails ? rival : peer).link.close();
    return prevails;
  }

  #closed(peer: Peer): void {
    this.#open.delete(peer);
    const instance = peer.member?.instance;
    if (instance === undefined || this.#peers.get(instance) !== peer) return;
    this.#peers.delete(instance);
    // The far end may have chosen the other one of two links to the same process.
    const other = [...this.#open].find(({ member }) => member?.instance === instance);
    if (other) {
      this.#peers.set(instance, other);
      return;
    }
    for (const listener of this.#closeListeners) listener(peer);
  }
}
