/** The settings file that the platform provides for each process. */
import { readFile } from 'node:fs/promises';
import * as z from 'zod';
import { type Settings, SettingsError } from '../daemon/settings.js';
import { Duration, HostPort } from './wire.js';

const HostFile = z.object({
  nodeName: z.string(),
  ip: z.ipv4(),
  /** Name of the data centre. */
  zone: z.string(),
  listen: z.object({
    /** For requests from other processes. */
    inbound: HostPort,
    /** For requests from callers on this machine. */
    outbound: HostPort,
    /** For readiness checks. */
    ready: HostPort,
    /** For reports of the upstream instance beside this process. */
    control: HostPort.optional(),
  }),
  internalPortRange: z.tuple([z.number().int(), z.number().int()]),
  /** Control addresses of some other machines. */
  seeds: z.array(HostPort).default([]),
  heartbeat: Duration,
  bounds: z.object({
    grace: Duration,
    retryBudgetRatio: z.number().default(0.2),
    budgetSlack: z.number().default(0),
    budgetWindow: Duration,
    /** Largest share of a service's requests that a bad version may get. */
    exposureShare: z.number().gt(0).max(1).default(0.1),
  }),
  /** Names of the platform's contracts that are in force. */
  contracts: z.array(z.string()).default([]),
  limits: z.object({ maxFds: z.number().int(), linkMbps: z.number().positive().optional() }),
  service: z.string(),
  /** Address of the upstream instance beside this process. */
  appAddr: HostPort.optional(),
  platform: z.object({ address: HostPort }),
});
export type HostFile = z.infer<typeof HostFile>;

/**
 * Retries allowed, as a percentage of requests, per unit of the retry ratio allowed to the fleet.
 * Only half of that ratio, because the calls that a repeated run makes again count as retries too
 * where they arrive.
 */
const RETRY_PERCENT_PER_RATIO = 50;

const KBPS_PER_MBPS = 1_000;

const ROLLOUT_CONTRACT = 'rollout';

/** Offsets of ports in the internal port range. */
const LINK_PORT_OFFSET = 0;
const OPERATORS_PORT_OFFSET = 1;
/** Missing reports in a row after which the upstream instance counts as down. */
const MAX_MISSED_REPORTS = 4;
/** Part of the grace period of a stop that is reserved for the exit, in milliseconds. */
const STOP_MARGIN_MS = 400;
/** Two failed readiness checks, a second apart, and the delay until callers know of them, in ms. */
const NOTICE_MS = 2_500;
/** Time until other processes send no more work here, in ms; they are told over links at once. */
const DRAIN_MS = 700;

/** Reads the settings file. Throws `SettingsError` if it cannot be read or is invalid. */
export async function readHostFile(path: string): Promise<HostFile> {
  const parsed = HostFile.safeParse(await readJson(path));
  if (parsed.success) return parsed.data;
  throw new SettingsError(`${path}: ${z.prettifyError(parsed.error)}`);
}

async function readJson(path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    throw new SettingsError(`${path}: ${String(cause)}`, { cause });
  }
}

/** Whether operators may order rollouts. */
export function hasRollouts({ contracts }: HostFile): boolean {
  return contracts.includes(ROLLOUT_CONTRACT);
}

/** Link addresses of the machines that the file lists as seeds. */
export function seedsOf({ seeds, internalPortRange }: HostFile) {
  return seeds.map(({ host }) => ({ host, port: internalPortRange[0] + LINK_PORT_OFFSET }));
}

/** Converts the file to the settings of this process. */
export function settingsOf(file: HostFile): Settings {
  const { listen, internalPortRange, platform, bounds } = file;
  const { linkMbps } = file.limits;
  return {
    instance: file.nodeName,
    dataCentre: file.zone,
    host: file.ip,
    callerPort: listen.outbound.port,
    guardPort: listen.inbound.port,
    linkPort: internalPortRange[0] + LINK_PORT_OFFSET,
    operatorsPort: internalPortRange[0] + OPERATORS_PORT_OFFSET,
    platform: `http://${platform.address.host}:${platform.address.port}`,
    peers: seedsOf(file),
    upstreamName: file.service,
    upstreamAddress: file.appAddr,
    profile: 'convergence',
    codec: 'msgpack',
    fanout: 8,
    heartbeatMs: 500,
    noticeMs: NOTICE_MS,
    drainMs: DRAIN_MS,
    leaseMs: MAX_MISSED_REPORTS * file.heartbeat,
    retryPercent: bounds.retryBudgetRatio * RETRY_PERCENT_PER_RATIO,
    retrySlack: bounds.budgetSlack,
    retryWindowMs: bounds.budgetWindow,
    ...(linkMbps !== undefined && { uplinkKbps: linkMbps * KBPS_PER_MBPS }),
    rolloutShare: bounds.exposureShare,
    logLevel: 'debug',
    stopMs: bounds.grace - STOP_MARGIN_MS,
  };
}
