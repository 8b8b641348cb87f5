/** Callers that send no whole request, or no request at all, and reset their connections. */
import { connect } from 'node:net';
import { type Clock } from '../runtime/clock.js';
import { INTERNAL_PORTS, PORTS } from '../standins/mesh_machine.js';

const HEAD = 'POST /listings/0/odd HTTP/1.1\r\nhost: suppers.example\r\n';

const TEXTS = {
  'no-request': '',
  'half-head': HEAD,
  'half-body': `${HEAD}content-length: 1000\r\n\r\nhalf`,
  'bad-chunk': `${HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n`,
  'two-lengths': `${HEAD}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
  abandoned: 'GET /listings/0/odd HTTP/1.1\r\nhost: suppers.example\r\n\r\n'.repeat(3),
  garbage: '\u0016\u0003\u0001\u0000\u00ff\u0000\u0001\r\n\r\n{"jsonrpc":\r\n',
} as const;

export type OddRequest = keyof typeof TEXTS;
export const ODD_REQUESTS = Object.keys(TEXTS) as OddRequest[];

const [LINK_PORT] = INTERNAL_PORTS;
/** Ports of a process, the two between processes among them. */
export const ODD_PORTS: readonly number[] = [
  PORTS.inbound,
  PORTS.outbound,
  PORTS.ready,
  PORTS.control,
  LINK_PORT,
  LINK_PORT + 1,
];

/** Sends it, and resets the connection after `forMs` milliseconds. */
export async function sendOddly(
  host: string,
  port: number,
  request: OddRequest,
  forMs: number,
  clock: Clock,
): Promise<void> {
  const socket = connect(port, host).on('error', () => {});
  socket.resume().write(TEXTS[request], 'latin1');
  await clock.sleepUntil(clock.now() + forMs);
  socket.resetAndDestroy();
}
