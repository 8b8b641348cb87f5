/** JSON-RPC in both directions with the process at the far end of a link. */
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

/** A JSON-RPC method that processes call on each other. */
export interface Method<Params, Result> {
  readonly name: string;
  readonly params: z.ZodType<Params>;
  readonly result: z.ZodType<Result>;
  /** Packs the parameters into a smaller form for the wire, which the schema `params` unpacks. */
  readonly pack?: (params: Params) => unknown;
}

type Handler = (peer: Peer, params: unknown) => unknown;

/** Method handlers of a process; parameters are validated against their schemas before a call. */
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
  /** Introduction of the far end; undefined until it has been received. */
  hello: Hello | undefined;

  /** Whether this end opened the link. */
  isDialled = false;

  /** Highest version that the far end is known to have. */
  version = 0;

  /** Whether the far end has reported that it is ready. */
  isReady = false;

  /** Whether the far end has reported that it reads the source, although it does not rank as a reader. */
  readsSource = false;

  /** When the last message arrived from it, in milliseconds since the epoch. */
  lastMessageAt: number;

  readonly #rpc: JSONRPCServerAndClient;

  constructor(
    readonly link: Link,
    private readonly methods: Methods,
    private readonly clock: Clock,
  ) {
    this.lastMessageAt = clock.now();
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

  /**
   * Calls a method of the far end. Rejects with an `OutcomeError` of verdict `may-have-run` if no
   * valid response arrives by the deadline.
   */
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

  /** Sends a notification, which has no response; does nothing on a closed link. */
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
    this.lastMessageAt = this.clock.now();
    if (this.hello && isNotification(message)) {
      this.#dispatch(message);
      return;
    }
    // The library answers a message that is not JSON-RPC with an error response.
    this.#rpc.receiveAndSend(message).catch(() => {});
  }

  /**
   * Calls the handler of a notification directly. Nearly all messages of an idle fleet are
   * notifications, and the library would create a dozen promises for each although it needs no
   * response. Until the far end has introduced itself, the library handles notifications, too: they
   * would otherwise overtake the introduction.
   */
  #dispatch({ method, params }: Notification): void {
    try {
      const result = this.methods.handlers.get(method)?.(this, params);
      if (result instanceof Promise) result.catch(() => {});
    } catch {
      // Invalid parameters are ignored: no response is expected.
    }
  }
}

/** Notifies several peers, encoding the notification once. Failures to send are not reported. */
export function notifyAll<Params>(
  peers: readonly Peer[],
  method: Method<Params, unknown>,
  params: Params,
): void {
  const packed = method.pack ? method.pack(params) : params;
  const notification = createJSONRPCNotification(method.name, packed);
  for (const { link } of peers) if (!link.closed.aborted) sendOrDrop(link, notification);
}

/** Drops a message too long for a frame; the error would otherwise end the task that notifies. */
function sendOrDrop(link: Link, notification: unknown): void {
  try {
    link.send(notification);
  } catch {
    // A peer that lacks the content requests it in parts.
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
