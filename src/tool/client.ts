/** Calls the operators' port of a process. */
import { request } from 'node:http';
import {
  createJSONRPCRequest,
  JSONRPCClient,
  type JSONRPCError,
  type JSONRPCID,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import * as z from 'zod';
import { OutcomeError, Verdict } from '../contracts.js';

/** Longer than a process takes to answer, so that its own verdict arrives first. */
const TIMEOUT_MS = 30_000;
const STATUS_OK = 200;

/** What a process adds to an error. */
const Told = z.object({ verdict: Verdict.optional(), reason: z.string().optional() });

export class Client {
  readonly #rpc: JSONRPCClient;

  /** Why calls got no answer, by their id; the library keeps no more of it than the message. */
  readonly #unanswered = new Map<JSONRPCID, OutcomeError>();

  #lastId = 0;

  constructor(private readonly address: string) {
    this.#rpc = new JSONRPCClient((payload: JSONRPCRequest) => this.#send(payload));
  }

  /** Throws `OutcomeError`, whose verdict tells whether the process may have acted on the call. */
  async call<T>(method: string, params: unknown = {}): Promise<T> {
    this.#lastId += 1;
    const id = this.#lastId;
    const answer = await this.#rpc.requestAdvanced(createJSONRPCRequest(id, method, params));
    if (!answer.error) return answer.result as T;
    const failure = this.#unanswered.get(id);
    this.#unanswered.delete(id);
    throw failure ?? outcomeOf(answer.error);
  }

  async #send(payload: JSONRPCRequest): Promise<void> {
    try {
      const answer = await this.#post(JSON.stringify(payload));
      this.#rpc.receive(JSON.parse(answer) as JSONRPCResponse);
    } catch (error) {
      const outcome = error instanceof OutcomeError ? error : garbled(error);
      this.#unanswered.set(payload.id ?? null, outcome);
      throw outcome;
    }
  }

  #post(body: string): Promise<string> {
    return new Promise((resolve, reject) => {
      let verdict: Verdict = 'not-run';
      const fail = (cause: Error) => reject(unanswered(this.address, verdict, cause));
      const outgoing = request(`http://${this.address}/rpc`, { method: 'POST' }, (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', fail);
        answer.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          if (answer.statusCode === STATUS_OK) resolve(text);
          else reject(turnedAway(text));
        });
      });
      outgoing.setTimeout(TIMEOUT_MS, () => outgoing.destroy(new Error('no answer')));
      // Before the connection stands nothing can have been handed over.
      outgoing.on('socket', (socket) => {
        const sent = () => {
          verdict = 'may-have-run';
        };
        if (socket.connecting) socket.once('connect', sent);
        else sent();
      });
      outgoing.on('error', fail);
      outgoing.end(body);
    });
  }
}

/** The error as the process told it; one that comes without a verdict proves nothing. */
function outcomeOf({ message, data }: JSONRPCError): OutcomeError {
  const told = Told.catch({}).parse(data);
  const { verdict = 'may-have-run', reason = 'failed' } = told;
  return new OutcomeError(message, { verdict, reason });
}

function garbled(cause: unknown): OutcomeError {
  const message = 'the answer cannot be read';
  return new OutcomeError(message, { verdict: 'may-have-run', reason: 'garbled' }, { cause });
}

function unanswered(address: string, verdict: Verdict, cause: Error): OutcomeError {
  const message = `${address} cannot be asked: ${cause.message}`;
  return new OutcomeError(message, { verdict, reason: 'unreachable' }, { cause });
}

/** The process does not look into a call that it answers so. */
function turnedAway(text: string): OutcomeError {
  return new OutcomeError(`turned away: ${text}`, { verdict: 'not-run', reason: 'turned-away' });
}
