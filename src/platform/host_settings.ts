/** The settings file that the platform gives to each process. */
import { readFile } from 'node:fs/promises';
import * as z from 'zod';
import { type Settings, SettingsError } from '../daemon/settings.js';
import { Duration, HostPort } from './wire.js';

const HostFile = z.object({
  nodeName: z.string(),
  ip: z.ipv4(),
  /** The data centre. */
  zone: z.string(),
  listen: z.object({
    /** Requests from other processes. */
    inbound: HostPort,
    /** Requests from callers on this machine. */
    outbound: HostPort,
    ready: HostPort,
    /** Announcements of the upstream instance beside this process. */
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
    /** Share of a service's requests that a bad version may get. */
    exposureShare: z.number().gt(0).max(1).default(0.1),
  }),
  /** The parts of the platform's rules that are in force. */
  contracts: z.array(z.string()).default([]),
  limits: z.object({ maxFds: z.number().int(), linkMbps: z.number().positive().optional() }),
  service: z.string(),
  /** Of the upstream instance beside this process. */
  appAddr: HostPort.optional(),
  platform: z.object({ address: HostPort }),
});
export type HostFile = z.infer<typeof HostFile>;

/**
 * Retries as a percentage of requests, per unit of the ratio that the fleet may add. Half of it:
 * the calls that a repeated run makes again count as retries where they arrive.
 */
const RETRY_PERCENT = 50;

const KBPS_PER_MBPS = 1_000;

const ROLLOUT_CONTRACT = 'rollout';

/** Ports of the internal range, counted from its first. */
const LINK_PORT = 0;
const OPERATORS_PORT = 1;
/** Announcements that may stay away before the upstream instance is taken for down. */
const MISSED_ANNOUNCEMENTS = 4;
/** The part of the grace after a stop was asked for that is kept for the end, in milliseconds. */
const STOP_MARGIN_MS = 400;
/** Two readiness questions missed, a second apart, and the way of the news to callers, in ms. */
const NOTICE_MS = 2_500;
/** For the other processes to send no more work here: the news goes over links at once. */
const DRAIN_MS = 700;

/** Reads the settings file. Throws `SettingsError`. */
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

/** Whether operators may order roll-outs. */
export function hasRollouts({ contracts }: HostFile): boolean {
  return contracts.includes(ROLLOUT_CONTRACT);
}

/** Link ports of the machines that the file names as a way in. */
export function seedsOf({ seeds, internalPortRange }: HostFile) {
  return seeds.map(({ host }) => ({ host, port: internalPortRange[0] + LINK_PORT }));
}

/** The product's settings on this machine. */
export function settingsOf(file: HostFile): Settings {
  const { listen, internalPortRange, platform, bounds } = file;
  const { linkMbps } = file.limits;
  return {
    instance: file.nodeName,
    dataCentre: file.zone,
    host: file.ip,
    callerPort: listen.outbound.port,
    guardPort: listen.inbound.port,
    linkPort: internalPortRange[0] + LINK_PORT,
    operatorsPort: internalPortRange[0] + OPERATORS_PORT,
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
    leaseMs: MISSED_ANNOUNCEMENTS * file.heartbeat,
    retryPercent: bounds.retryBudgetRatio * RETRY_PERCENT,
    retrySlack: bounds.budgetSlack,
    retryWindowMs: bounds.budgetWindow,
    ...(linkMbps !== undefined && { uplinkKbps: linkMbps * KBPS_PER_MBPS }),
    rolloutShare: bounds.exposureShare,
    logLevel: 'debug',
    stopMs: bounds.grace - STOP_MARGIN_MS,
  };
}
