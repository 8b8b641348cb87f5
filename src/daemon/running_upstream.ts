/** Finds an upstream instance that kept running while the process beside it restarted. */
import { type Replica } from '../distribution/replica.js';
import { type EndpointLease } from '../membership/announcement.js';
import { DEFAULT_DIALECT } from '../requests/default_dialect.js';
import { type Dialect } from '../requests/dialect.js';
import { probeUpstream } from '../requests/upstream_probe.js';
import { type Clock } from '../runtime/clock.js';
import { type Settings } from './settings.js';

/** How long a process waits for its first configuration before the probe of its upstream, in ms. */
const CONFIGURATION_TIMEOUT_MS = 3_000;
const NEVER_ABORTED = new AbortController().signal;

/** Parts of a process that the search uses. */
export interface UpstreamSearch {
  readonly replica: Replica;
  readonly endpointLease: EndpointLease;
  readonly clock: Clock;
  readonly dialect: Dialect | undefined;
}

/**
 * Asks the local upstream instance for its state. It may have kept running while this process
 * restarted. Until its next announcement it would get no work, and callers would be refused
 * although it has free slots. An instance that declines may have announced its drain to the
 * previous process, so a single `ready` is not trusted then.
 */
export async function findRunningUpstream(
  { upstreamName, upstreamAddress }: Settings,
  { replica, endpointLease, clock, dialect = DEFAULT_DIALECT }: UpstreamSearch,
): Promise<void> {
  if (upstreamName === undefined || upstreamAddress === undefined) return;
  const deadline = clock.now() + CONFIGURATION_TIMEOUT_MS;
  await replica.waitUntilAbove(0, deadline, clock, NEVER_ABORTED);
  const path = replica.current.find('upstream', upstreamName)?.healthPath;
  if (path === undefined) return;
  const { identity, refusesWork } = await probeUpstream({ ...upstreamAddress, path }, dialect);
  if (refusesWork) endpointLease.requireConfirmation();
  if (!identity || endpointLease.isKnown) return;
  endpointLease.renew({
    upstream: upstreamName,
    state: 'ready',
    ...upstreamAddress,
    ...identity,
    coldMs: 0,
  });
}
