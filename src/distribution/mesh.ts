/**
 * The links of one process: maintains links to its neighbours, and accepts links from any process.
 */
import { setMaxListeners } from 'node:events';
import { type Hello, OutcomeError } from '../contracts.js';
import { type Link } from '../link/link.js';
import { type Methods, Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { LinkMaintenance } from '../membership/link_maintenance.js';
import { type Clock } from '../runtime/clock.js';
import { callEach, runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Address, type Dialer } from './dialer.js';
import { GOSSIP, HELLO } from './methods.js';

export { type Address, Dialer } from './dialer.js';

const HELLO_TIMEOUT_MS = 2_000;
/**
 * Rate limit for accepted links: links per second, and burst size. Links beyond it are rejected.
 */
const ACCEPTED_PER_SECOND = 50;
const ACCEPT_BURST = 100;

export class Mesh implements AsyncDisposable {
  readonly #peers = new Map<string, Peer>();

  /** Remote ends of all open links, including those that have not sent a hello yet. */
  readonly #openPeers = new Set<Peer>();

  readonly #acceptLimiter: TokenBucket;

  readonly #linkMaintenance: LinkMaintenance;

  readonly #stopping = new AbortController();

  readonly #openListeners = new Set<(peer: Peer) => void>();

  readonly #closeListeners = new Set<(peer: Peer) => void>();

  #linksRejected = 0;

  constructor(
    private readonly roster: Roster,
    ranking: Ranking,
    private readonly methods: Methods,
    private readonly dialer: Dialer,
    private readonly clock: Clock,
    random: Random,
    private readonly hello: () => Hello,
  ) {
    // One listener per neighbour being dialled; Node.js logs a warning above ten by default.
    setMaxListeners(0, this.#stopping.signal);
    this.#acceptLimiter = new TokenBucket(clock, ACCEPTED_PER_SECOND, ACCEPT_BURST);
    this.#linkMaintenance = new LinkMaintenance(
      this,
      roster,
      ranking,
      clock,
      random,
      this.#stopping.signal,
    );
    methods.on(HELLO, (peer, theirs) => {
      this.#handleHello(peer, theirs);
      return this.hello();
    });
  }

  /** Peers that have sent a hello. */
  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Number of open links, including those whose remote end has not sent a hello yet. */
  get linksOpen(): number {
    return this.#openPeers.size;
  }

  /** Number of links rejected by the rate limit, or while stopping. */
  get linksRejected(): number {
    return this.#linksRejected;
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

  /** Closes links that neither end needs any more, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#linkMaintenance.run(signal);
  }

  /** Dials the neighbours to which there is no link; call it when the neighbours have changed. */
  dialMissing(): void {
    this.#linkMaintenance.dialMissing();
  }

  /**
   * Accepts a link opened by another process, within the rate limit. When many processes restart at
   * once, all of them dial at once; a process that exchanged hellos with all of them would miss its
   * heartbeats and be considered dead itself. A rejected process retries with jitter, and does not
   * treat the rejection as a sign of death.
   */
  accept(link: Link): void {
    if (this.#stopping.signal.aborted || !this.#acceptLimiter.take()) {
      this.#linksRejected += 1;
      link.close();
      return;
    }
    const peer = new Peer(link, this.methods, this.clock);
    this.#track(peer);
    runInBackground('introduction', this.#awaitHello(peer));
  }

  /**
   * Opens a link. Rejects with an `OutcomeError` of reason `unreachable`, or of reason
   * `turned-away` if the remote end closed the link before it sent a hello.
   */
  async dial({ host, port }: Address): Promise<Peer> {
    const link = await this.dialer.dial(host, port);
    const peer = new Peer(link, this.methods, this.clock);
    peer.isDialled = true;
    this.#track(peer);
    if (this.#stopping.signal.aborted) link.close();
    try {
      const theirs = await peer.request(HELLO, this.hello(), this.clock.now() + HELLO_TIMEOUT_MS);
      this.#handleHello(peer, theirs);
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

  /** Opens a link to an address from the settings; resolves to undefined if that fails. */
  async tryDial(address: Address): Promise<Peer | undefined> {
    return this.dial(address).catch(() => undefined);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    for (const peer of [...this.#openPeers]) peer.link.close();
  }

  #track(peer: Peer): void {
    this.#openPeers.add(peer);
    peer.link.closed.addEventListener('abort', () => this.#handleClosed(peer), { once: true });
  }

  /**
   * Closes a link whose remote end sends no hello in time. It would stay open forever: heartbeats
   * are only checked on links with a hello.
   */
  async #awaitHello(peer: Peer): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + HELLO_TIMEOUT_MS, peer.link.closed);
    if (!peer.hello) peer.link.close();
  }

  #handleHello(peer: Peer, hello: Hello): void {
    const { instance } = hello.member;
    if (instance === this.roster.self.instance) {
      // The process dialled itself: the addresses in the settings often include its own.
      peer.link.close();
      return;
    }
    peer.hello = hello;
    peer.version = Math.max(peer.version, hello.version);
    if (!this.#register(peer, hello)) return;
    this.roster.merge([hello.member], { instance });
    this.#sendKnownStatement(peer);
    callEach('link opened', this.#openListeners, peer);
  }

  /**
   * Sends a peer the record held of it, if that says it is not alive or has a higher incarnation
   * (the peer's clock went back over a restart), so that the peer can refute it.
   */
  #sendKnownStatement(peer: Peer): void {
    const known = this.roster.get(peer.member!.instance)!;
    const { incarnation } = peer.member!;
    if (known.incarnation > incarnation || known.liveness !== 'alive') {
      peer.notify(GOSSIP, { members: [known] });
    }
  }

  /**
   * Registers a peer by its instance. If two processes dial each other at once, two links result;
   * if each end used a different one, both would look silent. The link dialled by the end with the
   * lower instance name is kept. Only that end closes the other link, because only the dialler of
   * the kept link knows that both ends have opened it.
   */
  #register(peer: Peer, { member }: Hello): boolean {
    const { instance, incarnation } = member;
    const existing = this.#peers.get(instance);
    const isDuplicate =
      existing && existing !== peer && existing.member?.incarnation === incarnation;
    const isLower = this.roster.self.instance < instance;
    const isKept = !isDuplicate || peer.isDialled === isLower;
    if (isKept) this.#peers.set(instance, peer);
    if (isDuplicate && isLower) (isKept ? existing : peer).link.close();
    return isKept;
  }

  #handleClosed(peer: Peer): void {
    this.#openPeers.delete(peer);
    const instance = peer.member?.instance;
    if (instance === undefined || this.#peers.get(instance) !== peer) return;
    this.#peers.delete(instance);
    // The remote end may have kept the other of two links to the same process.
    const other = [...this.#openPeers].find(({ member }) => member?.instance === instance);
    if (other) {
      this.#peers.set(instance, other);
      return;
    }
    callEach('link closed', this.#closeListeners, peer);
  }
}
