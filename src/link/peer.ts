/** Another process at the far end of a link: JSON-RPC both ways. */
import {
  createJSONRPCNotification,
  isJSONRPCRequest,
  type JSONRPCID,
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import { type z } from 'zod';
import { type Hello, type Member, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Link } from './link.js';

/** A method that a process offers on its links. */
export interface Method<Params, Result> {
  readonly name: string;
  readonly params: z.ZodType<Params>;
  readonly result: z.ZodType<Result>;
  /** Makes the parameters smaller for the wire; `params` undoes it. */
  readonly pack?: (params: Params) => unknown;
}

type Handler = (peer: Peer, params: unknown) => unknown;

/** The methods that a process answers, checked against their schemas on the way in. */
export class Methods {
  readonly handlers = new Map<string, Handler>();

  on<Params, Result>(
    method: Method<Params, Result>,
    handler: (peer: Peer, params: Params) => Result | Promise<Result>,
  ): this {
    this.handlers.set(method.name, (peer, params) => handler(peer, method.params.parse(params)));
    return this;
  }
}

export class Peer implements AsyncDisposable {
  /** Who is at the far end, once it has said so. */
  hello: Hello | undefined;

  /** Whether this end opened the link. */
  isDialled = false;

  /** Highest version that the far end is known to hold. */
  version = 0;

  /** Whether the far end has said that it is ready. */
  isReady = false;

  /** Instant of the last message from it. */
  lastHeard: number;

  readonly #rpc: JSONRPCServerAndClient;

  constructor(
    readonly link: Link,
    private readonly methods: Methods,
    private readonly clock: Clock,
  ) {
    this.lastHeard = clock.now();
    const server = new JSONRPCServer({ errorListener: () => {} });
    for (const [name, handler] of methods.handlers) {
      server.addMethod(name, (params) => handler(this, params));
    }
    let lastId = 0;
    const nextId = (): JSONRPCID => {
      lastId += 1;
      return lastId;
    };
    const client = new JSONRPCClient((payload) => this.#send(payload), nextId);
    this.#rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => {} });
    link.receive((message) => this.#receive(message));
    link.closed.addEventListener('abort', () => this.#rpc.rejectAllPendingRequests('link closed'));
  }

  get member(): Member | undefined {
    return this.hello?.member;
  }

  /** Asks the far end; rejects with verdict `may-have-run` if no answer comes by the deadline. */
  async request<Params, Result>(
    method: Method<Params, Result>,
    params: Params,
    deadline: number,
  ): Promise<Result> {
    const timeout = Math.max(1, deadline - this.clock.now());
    try {
      return method.result.parse(await this.#rpc.timeout(timeout).request(method.name, params));
    } catch (cause) {
      const props = { verdict: 'may-have-run', reason: 'no-answer' } as const;
      throw new OutcomeError(`${method.name}: ${String(cause)}`, props, { cause });
    }
  }

  /** Sends what needs no answer; on a link that is closed nothing happens. */
  notify<Params>(method: Method<Params, unknown>, params: Params): void {
    notifyAll([this], method, params);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.link.close();
  }

  #send(payload: unknown): void {
    if (this.link.closed.aborted) throw new Error('link closed');
    this.link.send(payload);
  }

  #receive(message: unknown): void {
    this.lastHeard = this.clock.now();
    if (this.hello && isNotification(message)) {
      this.#take(message);
      return;
    }
    // A message that is not JSON-RPC is answered with an error by the library.
    void this.#rpc.receiveAndSend(message).catch(() => {});
  }

  /**
   * Nearly all messages of a calm fleet are notifications. The library would take each through a
   * dozen promises on the way to an answer that nobody gets. Before the far end has introduced
   * itself they go that way all the same, or they would overtake its introduction.
   */
  #take({ method, params }: Notification): void {
    try {
      const result = this.methods.handlers.get(method)?.(this, params);
      if (result instanceof Promise) result.catch(() => {});
    } catch {
      // What does not fit its schema changes nothing; nobody waits for an answer.
    }
  }
}

/** Sends the same to several ends; it is made and encoded once. Nobody hears of what is not sent. */
export function notifyAll<Params>(
  peers: readonly Peer[],
  method: Method<Params, unknown>,
  params: Params,
): void {
  const packed = method.pack ? method.pack(params) : params;
  const notification = createJSONRPCNotification(method.name, packed);
  for (const { link } of peers) if (!link.closed.aborted) sendOrDrop(link, notification);
}

/** A message too long for a frame would else end the task that tells of it, such as the gossip. */
function sendOrDrop(link: Link, notification: unknown): void {
  try {
    link.send(notification);
  } catch {
    // Whoever lacks it asks for it, in parts.
  }
}

interface Notification {
  readonly method: string;
  readonly params?: unknown;
}

function isNotification(message: unknown): message is Notification {
  if (typeof message !== 'object' || message === null) return false;
  return isJSONRPCRequest(message) && message.id === undefined;
}
