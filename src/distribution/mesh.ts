/** The links of one process: kept to its neighbours, answered from anybody. */
import { type Hello, type Member } from '../contracts.js';
import { type Link } from '../link/link.js';
import { type Methods, Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { HELLO } from './methods.js';

/** Opens links; rejects when the other end is not there. */
export abstract class Dialer {
  abstract dial(host: string, port: number): Promise<Link>;
}

/** Where a process may be found: a member that is known, or an address from the settings. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const HELLO_TIMEOUT_MS = 2_000;
/** Cap of the jittered wait before the next attempt to open a link, in milliseconds. */
const REDIAL_CAP_MS = 1_000;

export class Mesh implements AsyncDisposable {
  readonly #peers = new Map<string, Peer>();

  /** All open links, those that have not introduced themselves included. */
  readonly #links = new Set<Link>();

  readonly #dialling = new Set<string>();

  readonly #stopping = new AbortController();

  readonly #openListeners = new Set<(peer: Peer) => void>();

  readonly #closeListeners = new Set<(peer: Peer) => void>();

  constructor(
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly methods: Methods,
    private readonly dialer: Dialer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly hello: () => Hello,
  ) {
    methods.on(HELLO, (peer, theirs) => {
      this.#opened(peer, theirs);
      return this.hello();
    });
    roster.onNews(() => this.#tend());
  }

  /** Peers that have introduced themselves. */
  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
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

  /** Answers a link that another process has opened. */
  accept(link: Link): void {
    this.#watchOver(new Peer(link, this.methods, this.clock));
  }

  /** Opens links to the neighbours that have none yet. */
  #tend(): void {
    for (const member of this.ranking.neighbours) void this.#keep(member);
  }

  /** Opens a link to an address from the settings; undefined if nobody is there. */
  async introduce({ host, port }: Address): Promise<Peer | undefined> {
    try {
      const link = await this.dialer.dial(host, port);
      const peer = new Peer(link, this.methods, this.clock);
      peer.isDialled = true;
      this.#watchOver(peer);
      const theirs = await peer.request(HELLO, this.hello(), this.clock.now() + HELLO_TIMEOUT_MS);
      this.#opened(peer, theirs);
      return peer;
    } catch {
      return undefined;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    for (const link of [...this.#links]) link.close();
  }

  /** Keeps a link to `member` as long as it is a neighbour. */
  async #keep(member: Member): Promise<void> {
    const { instance } = member;
    if (this.#dialling.has(instance) || this.#peers.has(instance)) return;
    this.#dialling.add(instance);
    while (!this.#stopping.signal.aborted && !this.#peers.has(instance)) {
      const current = this.ranking.neighbours.find((other) => other.instance === instance);
      if (!current) break;
      const peer = await this.introduce({ host: current.host, port: current.linkPort });
      if (peer || this.#peers.has(instance)) break;
      this.roster.mark(instance, 'suspect');
      const wait = this.random.jitter(REDIAL_CAP_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, this.#stopping.signal);
    }
    this.#dialling.delete(instance);
  }

  #watchOver(peer: Peer): void {
    this.#links.add(peer.link);
    peer.link.closed.addEventListener('abort', () => this.#closed(peer), { once: true });
  }

  #opened(peer: Peer, hello: Hello): void {
    peer.hello = hello;
    peer.version = Math.max(peer.version, hello.version);
    if (!this.#enter(peer, hello)) return;
    this.roster.merge([hello.member]);
    for (const listener of this.#openListeners) listener(peer);
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
    this.#links.delete(peer.link);
    const instance = peer.member?.instance;
    if (instance === undefined || this.#peers.get(instance) !== peer) return;
    this.#peers.delete(instance);
    for (const listener of this.#closeListeners) listener(peer);
    if (!this.#stopping.signal.aborted) this.#tend();
  }
}
