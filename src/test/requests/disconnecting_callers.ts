/** Callers in a separate process that disconnect while this process is blocked. */
import { spawnSync } from 'node:child_process';
import { LOOPBACK } from '../../standins/listen.js';

const TIMEOUT_MS = 10_000;

/** Run by Node itself: each connection sends its head and closes once that has been written. */
const SCRIPT = `
const { connect } = require('node:net');
const [host, port, ...heads] = process.argv.slice(1);
for (const head of heads) {
  const socket = connect(Number(port), host, () => socket.write(head, () => socket.end()));
  socket.on('error', () => {});
  socket.unref();
  setTimeout(() => socket.destroy(), 200);
}
`;

/**
 * Blocks this process while one caller for each request head connects to `port`, sends it and
 * disconnects. When this process resumes, the end of each connection is pending behind its request.
 */
export function disconnectWhileBlocked(port: number, heads: readonly string[]): void {
  // eslint-disable-next-line n/no-sync -- This process has to be blocked meanwhile.
  const { status, stderr } = spawnSync(
    process.execPath,
    ['-e', SCRIPT, LOOPBACK, String(port), ...heads],
    { timeout: TIMEOUT_MS, encoding: 'utf8' },
  );
  if (status !== 0) throw new Error(`the callers failed: ${stderr}`);
}

/** The head of a request without a body. */
export function headOf(path: string, headers: Readonly<Record<string, string>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${path} HTTP/1.1\r\nHost: ${LOOPBACK}\r\n${lines.join('')}\r\n`;
}
