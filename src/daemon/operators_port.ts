/** What operators, the tool and the upstream instance beside the process talk to. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { JSONRPCErrorException, JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import { z } from 'zod';
import { OutcomeError, ReleaseNote } from '../contracts.js';
import { Announcement } from '../membership/announcement.js';
import { type Instance } from './instance.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const ACCEPT_TIMEOUT_MS = 10_000;
/** JSON-RPC error code for calls whose outcome is told by a verdict. */
export const OUTCOME_CODE = -32_000;

const History = z.strictObject({ note: z.string().optional() });

export class OperatorsPort implements AsyncDisposable {
  readonly server: Server;

  readonly #rpc = new JSONRPCServer({ errorListener: () => {} });

  constructor(private readonly instance: Instance) {
    this.server = createServer((request, response) => void this.#serve(request, response));
    this.#offer();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
  }

  #offer(): void {
    const { instance } = this;
    const { clock } = instance.surroundings;
    const deadline = () => clock.now() + ACCEPT_TIMEOUT_MS;
    this.#method('submit', ReleaseNote, (note) => instance.source.submit(note, deadline()));
    this.#method('audit', History, async ({ note }) => {
      const records = await instance.source.history(deadline());
      return records.filter((record) => note === undefined || record.version.note === note);
    });
    this.#method('status', z.unknown(), async () => ({
      head: instance.replica.current.number,
      survey: await instance.distributor.survey('fleet'),
    }));
    this.#method('fleet', z.unknown(), async () => instance.roster.all());
  }

  #method<T>(name: string, schema: z.ZodType<T>, handler: (params: T) => Promise<unknown>): void {
    this.#rpc.addMethod(name, async (params: unknown) => {
      try {
        return await handler(schema.parse(params));
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        const { verdict, reason, message } = error;
        throw new JSONRPCErrorException(message, OUTCOME_CODE, { verdict, reason });
      }
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#dispatch(request, response);
    } catch (error) {
      answer(response, 400, { message: String(error) });
    }
  }

  async #dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://operators');
    switch (url.pathname) {
      case '/rpc': {
        const payload = JSON.parse(await read(request)) as JSONRPCRequest;
        answer(response, 200, await this.#rpc.receive(payload));
        return;
      }
      case '/announcement': {
        this.instance.endpointLease.take(Announcement.parse(JSON.parse(await read(request))));
        answer(response, 200, {});
        return;
      }
      case '/ready': {
        const { isReady } = this.instance;
        answer(response, isReady ? 200 : 503, { ready: isReady });
        return;
      }
      case '/version': {
        await this.#versionAbove(url, response);
        const { number, digest } = this.instance.replica.current;
        answer(response, 200, { number, digest });
        return;
      }
      case '/configuration':
        answer(response, 200, this.instance.replica.snapshot());
        return;
      default:
        answer(response, 404, { message: 'nothing here' });
    }
  }

  /** Waits for a version above `above`, up to `wait` milliseconds; at once without them. */
  async #versionAbove({ searchParams }: URL, response: ServerResponse): Promise<void> {
    const { replica, surroundings } = this.instance;
    const above = Number(searchParams.get('above') ?? -1);
    const until = surroundings.clock.now() + Number(searchParams.get('wait') ?? 0);
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    await replica.above(above, until, surroundings.clock, gone.signal);
  }
}

function answer(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function read(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) throw new Error(`a body may have ${MAX_BODY_BYTES} bytes at most`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
