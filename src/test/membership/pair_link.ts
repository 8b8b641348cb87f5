/** Links and addresses in memory: the smallest network that can refuse, swallow and cut. */
import { OutcomeError } from '../../contracts.js';
import { Dialer } from '../../distribution/mesh.js';
import { HEARTBEAT } from '../../distribution/methods.js';
import { MsgpackCodec } from '../../link/codec.js';
import { Link } from '../../link/link.js';
import { type Clock } from '../../runtime/clock.js';

const DIAL_TIMEOUT_MS = 1_000;

export class Network {
  /** What accepts links, by port; a port that is not there refuses. */
  readonly listening = new Map<number, (link: Link) => void>();

  /** Whether packets between two ports are lost. */
  isCut: (from: number, to: number) => boolean = () => false;

  /** What was sent besides heartbeats, by method; answers count under the empty name. */
  readonly sent = new Map<string, Traffic>();

  readonly #links = new Set<PairLink>();

  readonly #codec = new MsgpackCodec();

  constructor(readonly clock: Clock) {}

  /** Opens a link; the nearer end is returned. */
  connect(from: number, to: number, accept: (link: Link) => void): Link {
    const [near, far] = [new PairLink(this, from, to), new PairLink(this, to, from)];
    near.far = far;
    far.far = near;
    this.#links.add(near).add(far);
    queueMicrotask(() => accept(far));
    return near;
  }

  /** Open links between two ports go silent for good, while new ones work. */
  silence(one: number, other: number): void {
    for (const link of this.#links) {
      const { from, to } = link;
      if ([from, to].includes(one) && [from, to].includes(other)) link.isSilent = true;
    }
  }

  count(message: unknown): void {
    const { method = '' } = message as { method?: string };
    if (method === HEARTBEAT.name) return;
    const { messages, bytes } = this.traffic(method);
    const { length } = this.#codec.encode(message);
    this.sent.set(method, { messages: messages + 1, bytes: bytes + length });
  }

  traffic(method: string): Traffic {
    return this.sent.get(method) ?? { messages: 0, bytes: 0 };
  }
}

export interface Traffic {
  readonly messages: number;
  readonly bytes: number;
}

class PairLink extends Link {
  readonly #closing = new AbortController();

  readonly bytesSent = 0;

  readonly bytesReceived = 0;

  far!: PairLink;

  isSilent = false;

  #receiver: ((message: unknown) => void) | undefined;

  #early: unknown[] = [];

  constructor(
    private readonly network: Network,
    readonly from: number,
    readonly to: number,
  ) {
    super();
  }

  get closed(): AbortSignal {
    return this.#closing.signal;
  }

  send(message: unknown): void {
    if (this.closed.aborted) return;
    this.network.count(message);
    if (this.#isLost) return;
    queueMicrotask(() => this.far.take(message));
  }

  take(message: unknown): void {
    if (this.closed.aborted) return;
    if (this.#receiver) this.#receiver(message);
    else this.#early.push(message);
  }

  receive(receiver: (message: unknown) => void): void {
    this.#receiver = receiver;
    this.#early.splice(0).forEach(receiver);
  }

  close(): void {
    if (this.closed.aborted) return;
    this.#closing.abort();
    if (!this.#isLost) queueMicrotask(() => this.far.close());
  }

  get #isLost(): boolean {
    return this.isSilent || this.network.isCut(this.from, this.to);
  }
}

/** Dials from one port, so that cuts can tell who dials. */
export class PairDialer extends Dialer {
  constructor(
    private readonly network: Network,
    private readonly from: number,
  ) {
    super();
  }

  async dial(_host: string, port: number): Promise<Link> {
    const { network, from } = this;
    if (network.isCut(from, port)) {
      await network.clock.sleepUntil(network.clock.now() + DIAL_TIMEOUT_MS);
      throw unreachable();
    }
    const accept = network.listening.get(port);
    if (!accept) throw unreachable();
    return network.connect(from, port, accept);
  }
}

function unreachable(): OutcomeError {
  return new OutcomeError('nobody there', { verdict: 'not-run', reason: 'unreachable' });
}
