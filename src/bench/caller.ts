/** A caller of the bench: sends one request and reads the whole answer. */
import { type Agent, type OutgoingHttpHeaders, request } from 'node:http';

export interface Ask {
  /** Address; loopback when absent. */
  readonly host?: string;
  readonly port: number;
  readonly path: string;
  readonly method?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string;
  readonly agent?: Agent;
}

export interface Answer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

/** Resolves to the whole answer; rejects if it was cut. */
export function ask(asked: Ask): Promise<Answer> {
  const { host = '127.0.0.1', port, path, method = 'GET', headers, body, agent } = asked;
  return new Promise((resolve, reject) => {
    const options = { host, port, path, method, headers, agent };
    const outgoing = request(options, (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', reject);
      incoming.on('end', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
