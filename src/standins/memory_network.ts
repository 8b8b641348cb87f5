/** Simulates the network between processes: in-memory links that can be cut between data centres. */
import { OutcomeError } from '../contracts.js';
import { Dialer } from '../distribution/mesh.js';
import { type Codec } from '../link/codec.js';
import { type Link } from '../link/link.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type LinkFaults, MemoryLink, noFaults, type HostConditions } from './memory_link.js';

/** A process attached to the network. */
export interface Host extends HostConditions {
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly accept: (link: Link) => void;
}

/** Which messages of an isolated process are lost. */
export type LostDirections = 'both' | 'sent' | 'received';

interface Connection {
  readonly ends: readonly [MemoryLink, MemoryLink];
  readonly hosts: readonly [Host, Host];
}

/** How long a connection attempt across a cut takes to fail, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;

export class MemoryNetwork {
  readonly faults: LinkFaults = noFaults();

  readonly #hosts = new Map<string, Host>();

  readonly #cuts = new Set<string>();

  /** Processes that nobody hears. */
  readonly #unheard = new Set<Host>();

  /** Processes that hear nobody. */
  readonly #unhearing = new Set<Host>();

  readonly #connections: Connection[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly codec: Codec,
  ) {}

  /** Bytes sent over all links so far, including framing. */
  get bytesSent(): number {
    const ends = this.#connections.flatMap((connection) => connection.ends);
    return ends.reduce((sum, end) => sum + end.bytesSent, 0);
  }

  /** Makes a process reachable; returns the dialer with which it connects to others. */
  attach(host: Host): Dialer {
    this.#hosts.set(address(host.host, host.port), host);
    return new MemoryDialer((to, port) => this.#dial(host, to, port));
  }

  /** Simulates a crash: links are closed or, if the whole machine fails, go silent without a close. */
  detach(host: Host, how: 'closed' | 'silent'): void {
    this.#hosts.delete(address(host.host, host.port));
    for (const { ends, hosts } of this.#openConnections(host)) {
      if (how === 'silent') ends[0].silence();
      ends[hosts.indexOf(host)]?.close();
    }
  }

  /** Makes the open links between two processes drop all messages; new links work. */
  silence(one: Host, other: Host): void {
    for (const { ends, hosts } of this.#openConnections(one))
      if (hosts.includes(other)) ends[0].silence();
  }

  /** Cuts all communication between two data centres until `heal`. */
  cut(one: string, other: string): void {
    this.#cuts.add(pairKey(one, other));
  }

  /** Drops the messages between a process and all others until `heal`, without a close of its links. */
  isolate(host: Host, lost: LostDirections): void {
    if (lost !== 'received') this.#unheard.add(host);
    if (lost !== 'sent') this.#unhearing.add(host);
  }

  heal(): void {
    this.#cuts.clear();
    this.#unheard.clear();
    this.#unhearing.clear();
  }

  #openConnections(host: Host): Connection[] {
    return this.#connections.filter(
      ({ ends, hosts }) => hosts.includes(host) && !ends.every((end) => end.closed.aborted),
    );
  }

  async #dial(from: Host, host: string, port: number): Promise<Link> {
    const target = this.#hosts.get(address(host, port));
    const isCut = () =>
      target !== undefined && (this.#isCut(from, target) || this.#isCut(target, from));
    if (isCut()) await this.clock.sleepUntil(this.clock.now() + DIAL_TIMEOUT_MS);
    else await this.clock.sleepUntil(this.clock.now() + this.faults.latencyMs);
    if (!target || this.#hosts.get(address(host, port)) !== target || isCut()) {
      const props = { verdict: 'not-run', reason: 'unreachable' } as const;
      throw new OutcomeError(`no link to ${address(host, port)}`, props);
    }
    return this.#connect(from, target);
  }

  #connect(from: Host, target: Host): Link {
    const { clock, random, codec, faults } = this;
    const settings = { clock, random, codec, faults };
    const ends = MemoryLink.pair(
      settings,
      { ...from, isCut: () => this.#isCut(from, target) },
      { ...target, isCut: () => this.#isCut(target, from) },
    );
    this.#connections.push({ ends, hosts: [from, target] });
    target.accept(ends[1]);
    return ends[0];
  }

  /** Whether what one process sends to another is lost. */
  #isCut(from: Host, to: Host): boolean {
    const isLost = this.#unheard.has(from) || this.#unhearing.has(to);
    return isLost || this.#cuts.has(pairKey(from.dataCentre, to.dataCentre));
  }
}

class MemoryDialer extends Dialer {
  constructor(readonly dial: (host: string, port: number) => Promise<Link>) {
    super();
  }
}

function address(host: string, port: number): string {
  return `${host}:${port}`;
}

function pairKey(one: string, other: string): string {
  return [one, other].sort().join(' ');
}
