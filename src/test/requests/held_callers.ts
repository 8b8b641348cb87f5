/** Callers in a process of their own, who ask and leave while this process stands still. */
import { spawnSync } from 'node:child_process';
import { LOOPBACK } from '../../standins/listen.js';

const TIMEOUT_MS = 10_000;

/** Run by Node itself: each connection sends the head, and closes once that has been taken. */
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
 * Holds this process while one caller for each head of a request connects to `port`, sends it and
 * leaves: when this process goes on, each request lies in its socket together with the end of its connection.
 */
export function leaveWhileHeld(port: number, heads: readonly string[]): void {
  // eslint-disable-next-line n/no-sync -- This process has to stand still meanwhile.
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
