/** Identifies the upstream instance beside a process that has just started, by its health check. */
import { type IncomingMessage, request } from 'node:http';
import { type Dialect, type Identity } from './dialect.js';
import { isValidResponse, MALFORMED_RESPONSE } from './http_syntax.js';

const TIMEOUT_MS = 500;

export interface HealthCheckAddress {
  readonly host: string;
  readonly port: number;
  /** Path of its health check. */
  readonly path: string;
}

/** Result of the probe; without an identity and `false` if nothing responds there. */
export interface UpstreamProbe {
  /** Set if the instance accepts work. */
  readonly identity?: Identity | undefined;
  /** Whether the instance reports that it accepts none. */
  readonly refusesWork: boolean;
}

export async function probeUpstream(
  place: HealthCheckAddress,
  dialect: Dialect,
): Promise<UpstreamProbe> {
  try {
    const answer = await fetchHealth(place);
    answer.on('error', () => {});
    answer.resume();
    return { identity: dialect.identityOf(answer), refusesWork: dialect.refusesWork(answer) };
  } catch {
    // Nothing listens there yet: the instance's first announcement will identify it.
    return { refusesWork: false };
  }
}

function fetchHealth({ host, port, path }: HealthCheckAddress): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path, agent: false }, (answer) => {
      if (isValidResponse(answer)) resolve(answer);
      else outgoing.destroy(new Error(MALFORMED_RESPONSE));
    });
    // For the whole response: the timeout of a socket starts anew with every byte.
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`no response within ${TIMEOUT_MS} ms`)),
      TIMEOUT_MS,
    );
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.on('error', reject);
    outgoing.end();
  });
}
