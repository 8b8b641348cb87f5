/**
 * Baseline for the request experiments: a proxy with no concurrency limit that retries at once.
 * Arguments: comma-separated ports of the upstream instances; total time for all attempts of a
 * request in milliseconds.
 */
import { Agent, createServer, type IncomingMessage, request } from 'node:http';
import { listen } from '../standins/listen.js';

const ATTEMPTS = 3;
const [ports = '', timeoutMs = '1000'] = process.argv.slice(2);
const upstreams = ports.split(',').map(Number);
const agent = new Agent({ keepAlive: true });
let turn = 0;

function attempt(incoming: IncomingMessage): Promise<IncomingMessage> {
  turn += 1;
  const port = upstreams[turn % upstreams.length]!;
  const { method, url, headers } = incoming;
  return new Promise((resolve, reject) => {
    const options = { agent, host: '127.0.0.1', port, method, path: url, headers };
    const outgoing = request(options, resolve);
    outgoing.setTimeout(Number(timeoutMs) / ATTEMPTS, () =>
      outgoing.destroy(new Error('answer timed out')),
    );
    outgoing.on('error', reject);
    outgoing.end();
  });
}

const server = createServer((incoming, response) => {
  void (async () => {
    for (let left = ATTEMPTS; left > 0; left--) {
      try {
        const answer = await attempt(incoming);
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
        return;
      } catch {
        // Retried at once, without backoff.
      }
    }
    response.writeHead(502).end();
  })();
});
console.log(JSON.stringify({ callerPort: await listen(server) }));
