/** Logs each change in a process's view of the fleet, its configuration and its dependencies. */
import { type Member } from '../contracts.js';
import { type Log } from '../logs/log.js';
import { type Platform } from '../platform/platform.js';
import { type Guard } from '../requests/guard.js';
import { type Clock } from '../runtime/clock.js';
import { type Control } from './control.js';

/** Subscribes to all changes for the lifetime of the process. */
export function recordStateChanges(
  control: Control,
  guard: Guard,
  platform: Platform,
  log: Log,
  clock: Clock,
): void {
  if (!log.isEnabled('info')) return;
  recordConfiguration(control, log, clock);
  recordMembers(control, log);
  recordLinks(control, log, clock);
  recordUpstream(control, log);
  recordRateLimit(guard, log);
  recordDrains(control, log);
  recordPlatform(platform, log, clock);
  control.readDelegation.onDelegated = (delegate) => {
    log.record('info', { event: 'reading-delegated', delegate });
  };
  control.readerMonitor.onSilenceBegun = (silentMs) => {
    log.record('warn', { event: 'readers-silent', silentMs: Math.round(silentMs) });
  };
  control.sourceFallback.onReading = (reason) => {
    log.record('warn', { event: 'reading-alone', reason });
  };
  control.gossip.onLateWakeUp = (lateMs) => log.record('warn', { event: 'late', lateMs });
}

function recordConfiguration({ replica, readiness }: Control, log: Log, clock: Clock): void {
  replica.onApplied((versions) => {
    const { origin } = replica;
    const { number: version, digest, size: resources } = replica.current;
    const latest = origin === 'push' || origin === 'pull' ? versions.at(-1) : undefined;
    const age = latest && { ageMs: Math.max(0, Math.round(clock.now() - latest.acceptedAt)) };
    log.record('info', { event: 'applied', version, digest, resources, origin, ...age });
  });
  replica.onServedOlder = (served) => {
    log.record('info', { event: 'served-older', held: replica.current.number, served });
  };
  replica.onRefused = ({ number: version, reason, problems }) => {
    const texts = problems.map((problem) => JSON.stringify(problem));
    log.record('warn', { event: 'version-refused', version, reason, problems: texts });
  };
  readiness.onReady(() => {
    log.record('info', { event: 'ready', version: replica.current.number });
  });
}

/** Logs changes of members; an update that repeats the known state logs nothing. */
function recordMembers({ roster, ranking, restarts }: Control, log: Log): void {
  restarts.onUnannounced = ({ instance: endpoint, incarnation }) => {
    log.record('warn', { event: 'unannounced-restart', endpoint, incarnation });
  };
  const known = new Map<string, Member>();
  let { isReader } = ranking;
  roster.onUpdate((members) => {
    for (const member of members) {
      recordMember(known.get(member.instance), member, log);
      known.set(member.instance, member);
    }
    if (ranking.isReader === isReader) return;
    isReader = ranking.isReader;
    log.record('info', { event: 'reader-changed', isReader });
  });
}

function recordMember(before: Member | undefined, member: Member, log: Log): void {
  const { instance: name, liveness, endpoint } = member;
  if (before?.liveness !== liveness) {
    log.record('info', { event: 'liveness-changed', endpoint: name, liveness });
  }
  if (!endpoint) return;
  const { upstream, state, slots } = endpoint;
  if (before?.endpoint?.state === state && before.endpoint.upstream === upstream) return;
  log.record('info', { event: 'endpoint-changed', endpoint: name, upstream, state, slots });
}

function recordLinks({ mesh }: Control, log: Log, clock: Clock): void {
  mesh.onOpen((peer) => {
    const neighbour = peer.hello?.member.instance ?? '';
    log.record('info', { event: 'neighbour-found', neighbour });
  });
  mesh.onClose((peer) => {
    const neighbour = peer.hello?.member.instance ?? '';
    const silentMs = Math.round(clock.now() - peer.lastMessageAt);
    log.record('info', { event: 'neighbour-lost', neighbour, silentMs });
  });
}

function recordUpstream({ endpointLease }: Control, log: Log): void {
  let last = '';
  endpointLease.onAnnouncement(({ upstream, state, slots, id }) => {
    const described = `${upstream} ${state} ${slots} ${id}`;
    if (described === last) return;
    last = described;
    const identity = id === undefined ? {} : { id };
    log.record('info', { event: 'upstream-changed', upstream, state, slots, ...identity });
  });
}

function recordRateLimit({ limit: { rateLimit } }: Guard, log: Log): void {
  rateLimit.onChange = (perSecond) => {
    const stated = Number.isFinite(perSecond) ? { perSecond } : {};
    log.record('info', { event: 'rate-limit-changed', ...stated });
  };
}

function recordDrains({ endpointLease }: Control, log: Log): void {
  endpointLease.onDrain = ({ id }, isBeside) => {
    log.record('info', { event: 'drain-announced', id, isBeside });
  };
}

function recordPlatform({ meter }: Platform, log: Log, clock: Clock): void {
  let awaySince = 0;
  meter.onChange(({ isAway, message }) => {
    const now = clock.now();
    if (isAway) {
      awaySince = now;
      log.record('warn', { event: 'dependency-lost', dependency: 'platform', message });
    } else {
      const awayMs = Math.round(now - awaySince);
      log.record('info', { event: 'dependency-regained', dependency: 'platform', awayMs });
    }
  });
}
