/** Settings of the daemon: flags, or environment variables named after them. */
import * as z from 'zod';
import { Name } from '../contracts.js';

const Port = z.coerce.number().int().min(0).max(65_535);
const Address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an IP number and a port, such as 127.0.0.1:7000')
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return { host, port: Number(port) };
  });

/** Splits a comma-separated list; an empty text is an empty list. */
const commaList = (text: unknown) =>
  typeof text === 'string' ? text.split(',').filter((part) => part !== '') : text;

const Shape = {
  instance: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'letters, digits, dots, dashes, underscores; 100 at most'),
  dataCentre: z.string().regex(/^[A-Za-z0-9._-]{1,100}$/, 'letters, digits, dots, dashes'),
  host: z.ipv4('an IP number').default('127.0.0.1'),
  callerPort: Port.default(8080),
  guardPort: Port.default(8081),
  linkPort: Port.default(8082),
  operatorsPort: Port.default(8083),
  platform: z.url({ protocol: /^http$/, error: 'an http:// address' }),
  peers: z.preprocess(commaList, z.array(Address)).default([]),
  upstreamName: Name.optional(),
  upstreamAddress: Address.optional(),
  profile: z.enum(['convergence', 'bytes']).default('convergence'),
  codec: z.enum(['msgpack', 'json']).default('msgpack'),
  fanout: z.coerce.number().int().min(1).max(64).default(8),
  heartbeatMs: z.coerce.number().int().min(50).max(60_000).default(1_000),
  noticeMs: z.coerce.number().int().min(0).max(60_000).default(1_000),
  drainMs: z.coerce.number().int().min(0).max(60_000).default(1_000),
  leaseMs: z.coerce.number().int().min(100).max(600_000).default(3_000),
  retryPercent: z.coerce.number().min(0).max(100).default(10),
  retrySlack: z.coerce.number().min(0).optional(),
  retryWindowMs: z.coerce.number().int().min(100).max(600_000).default(10_000),
  uplinkKbps: z.coerce.number().positive().optional(),
  rolloutShare: z.coerce.number().gt(0).max(1).default(0.1),
  logLevel: z.enum(['debug', 'info', 'warn', 'silent']).default('info'),
  stopMs: z.coerce.number().int().min(0).max(600_000).default(30_000),
};

/** What each flag is for, as `--help` prints it. */
export const ABOUT: Readonly<Record<keyof typeof Shape, string>> = {
  instance: 'Name of this instance, unique in the fleet',
  dataCentre: 'Data centre it stands in',
  host: 'IP number it listens on and is reached by',
  callerPort: 'Port for callers; 0 takes any free one',
  guardPort: 'Port for requests from other processes',
  linkPort: 'Port for links from other processes',
  operatorsPort: 'Port for operators, metrics and the announcements of the upstream',
  platform: "Address of the platform's object API",
  peers: 'Comma-separated host:port of some other link ports',
  upstreamName: 'Name of the upstream beside this process, where it is known',
  upstreamAddress: 'host:port of the upstream instance beside this process',
  profile: 'What goes first: convergence or bytes',
  codec: 'Encoding on links, the same in the whole fleet: msgpack or json',
  fanout: 'Children per process in the tree',
  heartbeatMs: 'Pace of heartbeats on links, in milliseconds',
  noticeMs: 'Time for others to learn of a stop before ports are closed, in milliseconds',
  drainMs: 'The last part of it, in which the upstream instance gets no new work, in milliseconds',
  leaseMs: 'How long an announcement of the upstream instance holds, in milliseconds',
  retryPercent: 'Retries, as a percentage of answered requests, where no limit says it',
  retrySlack:
    'Retries beside them that the whole fleet may add in a window; each process by itself when absent',
  retryWindowMs: 'That window, in milliseconds',
  uplinkKbps:
    'What the network link of this machine carries, in kilobits a second; heavy answers are not paced when absent',
  rolloutShare:
    "Share of an upstream's requests that a bad version may get while it is rolled out, 0 to 1",
  logLevel: 'Least level of lines on standard output: debug, info, warn or silent',
  stopMs: 'Time a stop may take to let requests finish, in milliseconds',
};

export const Settings = z.strictObject(Shape);
export type Settings = z.infer<typeof Settings>;

/** A setting that cannot be used, with the flag, the value and what is allowed. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** `dataCentre` as `data-centre`. */
export function flagName(setting: string): string {
  return setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Name of the environment variable that stands in for a flag. */
export function variableName(setting: string): string {
  return `BARLEYHAVEN_${flagName(setting).replaceAll('-', '_').toUpperCase()}`;
}

/** Reads settings; flags go before the environment. Throws `SettingsError`. */
export function readSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: NodeJS.ProcessEnv,
): Settings {
  const given: Record<string, unknown> = {};
  for (const setting of Object.keys(Shape)) {
    const value = flags[setting] ?? environment[variableName(setting)];
    if (value !== undefined) given[setting] = typeof value === 'number' ? String(value) : value;
  }
  const parsed = Settings.safeParse(given);
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map((issue) => {
    const setting = String(issue.path[0]);
    return `--${flagName(setting)} (${variableName(setting)}): ${JSON.stringify(given[setting])} is not allowed: ${issue.message}`;
  });
  throw new SettingsError(lines.join('\n'));
}
