/** Calls the operators' port of a process. */
import { request } from 'node:http';
import { JSONRPCClient, type JSONRPCResponse } from 'json-rpc-2.0';
import { OutcomeError, Verdict } from '../contracts.js';

/** Longer than a process takes to answer, so that its own verdict arrives first. */
const TIMEOUT_MS = 30_000;
const STATUS_OK = 200;

export class Client {
  readonly #rpc: JSONRPCClient;

  constructor(private readonly address: string) {
    let lastId = 0;
    const nextId = () => {
      lastId += 1;
      return lastId;
    };
    const rpc: JSONRPCClient = new JSONRPCClient(async (payload) => {
      const answer = await this.#post(JSON.stringify(payload));
      rpc.receive(JSON.parse(answer) as JSONRPCResponse);
    }, nextId);
    this.#rpc = rpc;
  }

  /** Throws `OutcomeError`, whose verdict tells whether the process may have acted on the call. */
  async call<T>(method: string, params: unknown = {}): Promise<T> {
    try {
      return (await this.#rpc.request(method, params)) as T;
    } catch (error) {
      throw outcomeOf(error);
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
function outcomeOf(error: unknown): OutcomeError {
  if (error instanceof OutcomeError) return error;
  const { message, data } = error as { message: string; data?: Record<string, unknown> };
  const verdict = Verdict.catch('may-have-run').parse(data?.verdict);
  return new OutcomeError(message, { verdict, reason: String(data?.reason ?? 'failed') });
}

function unanswered(address: string, verdict: Verdict, cause: Error): OutcomeError {
  const message = `${address} cannot be asked: ${cause.message}`;
  return new OutcomeError(message, { verdict, reason: 'unreachable' }, { cause });
}

/** The process does not look into a call that it answers so. */
function turnedAway(text: string): OutcomeError {
  return new OutcomeError(`turned away: ${text}`, { verdict: 'not-run', reason: 'turned-away' });
}
