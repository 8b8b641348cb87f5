/** Calls the operators' port of a process. */
import { request } from 'node:http';
import { JSONRPCClient } from 'json-rpc-2.0';

export class Client {
  readonly #rpc: JSONRPCClient;

  constructor(address: string) {
    let lastId = 0;
    const nextId = () => {
      lastId += 1;
      return lastId;
    };
    const rpc: JSONRPCClient = new JSONRPCClient(async (payload) => {
      rpc.receive(JSON.parse(await post(`http://${address}/rpc`, JSON.stringify(payload))));
    }, nextId);
    this.#rpc = rpc;
  }

  async call<T>(method: string, params: unknown = {}): Promise<T> {
    return (await this.#rpc.request(method, params)) as T;
  }
}

function post(url: string, body: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const outgoing = request(url, { method: 'POST' }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', reject);
      answer.on('end', () => resolve(Buffer.concat(chunks).toString()));
    });
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
