/** JSON-RPC client for the operators' port of a process. */
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

/** Longer than a process takes to respond, so that its own verdict arrives first. */
const TIMEOUT_MS = 30_000;
const STATUS_OK = 200;

/** The `data` that a process adds to a JSON-RPC error. */
const ErrorData = z.object({ verdict: Verdict.optional(), reason: z.string().optional() });

export class Client {
  readonly #rpc: JSONRPCClient;

  /** Errors of calls without a valid response, by call id; the library keeps only their message. */
  readonly #failures = new Map<JSONRPCID, OutcomeError>();

  #lastId = 0;

  constructor(private readonly address: string) {
    this.#rpc = new JSONRPCClient((payload: JSONRPCRequest) => this.#send(payload));
  }

  /** Rejects with an `OutcomeError`, whose verdict says whether the process may have run the call. */
  async call<T>(method: string, params: unknown = {}): Promise<T> {
    this.#lastId += 1;
    const id = this.#lastId;
    const answer = await this.#rpc.requestAdvanced(createJSONRPCRequest(id, method, params));
    if (!answer.error) return answer.result as T;
    const failure = this.#failures.get(id);
    this.#failures.delete(id);
    throw failure ?? outcomeOf(answer.error);
  }

  async #send(payload: JSONRPCRequest): Promise<void> {
    try {
      const answer = await this.#post(JSON.stringify(payload));
      this.#rpc.receive(JSON.parse(answer) as JSONRPCResponse);
    } catch (error) {
      const outcome = error instanceof OutcomeError ? error : invalidResponse(error);
      this.#failures.set(payload.id ?? null, outcome);
      throw outcome;
    }
  }

  #post(body: string): Promise<string> {
    return new Promise((resolve, reject) => {
      let verdict: Verdict = 'not-run';
      const fail = (cause: Error) => reject(callFailed(this.address, verdict, cause));
      const outgoing = request(`http://${this.address}/rpc`, { method: 'POST' }, (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', fail);
        answer.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          if (answer.statusCode === STATUS_OK) resolve(text);
          else reject(callRejected(text));
        });
      });
      outgoing.setTimeout(TIMEOUT_MS, () =>
        outgoing.destroy(new Error(`no response within ${TIMEOUT_MS} ms`)),
      );
      // Until the connection is established nothing can have been sent.
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

/** The error as the process reported it. Without a verdict the call may have run. */
function outcomeOf({ message, data }: JSONRPCError): OutcomeError {
  const errorData = ErrorData.catch({}).parse(data);
  const { verdict = 'may-have-run', reason = 'failed' } = errorData;
  return new OutcomeError(message, { verdict, reason });
}

function invalidResponse(cause: unknown): OutcomeError {
  const message = 'the response is not valid JSON-RPC';
  return new OutcomeError(message, { verdict: 'may-have-run', reason: 'garbled' }, { cause });
}

function callFailed(address: string, verdict: Verdict, cause: Error): OutcomeError {
  const message = `call to ${address} failed: ${cause.message}`;
  return new OutcomeError(message, { verdict, reason: 'unreachable' }, { cause });
}

/** For a response other than 200, with which the process rejects a call without running it. */
function callRejected(text: string): OutcomeError {
  return new OutcomeError(`call rejected before it was run: ${text}`, {
    verdict: 'not-run',
    reason: 'turned-away',
  });
}
