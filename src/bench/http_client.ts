/** HTTP client of the benchmarks: sends one request and reads the whole answer. */
import { type Agent, type OutgoingHttpHeaders, request } from 'node:http';

export interface RequestOptions {
  /** Defaults to loopback. */
  readonly host?: string;
  readonly port: number;
  readonly path: string;
  readonly method?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string;
  readonly agent?: Agent;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

/** Resolves to the complete answer; rejects if the connection fails or the answer is truncated. */
export function sendRequest(requestOptions: RequestOptions): Promise<HttpResponse> {
  const { host = '127.0.0.1', port, path, method = 'GET', headers, body, agent } = requestOptions;
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
