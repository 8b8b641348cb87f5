/** Settings of the daemon, given as command-line flags or environment variables. */
import * as z from 'zod';
import { Name } from '../contracts.js';

const Port = z.coerce.number().int().min(0).max(65_535);
const Address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'must be an IPv4 address and a port, such as 127.0.0.1:7000',
  )
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return { host, port: Number(port) };
  });

/** Splits a comma-separated list; an empty string is an empty list. */
const commaList = (text: unknown) =>
  typeof text === 'string' ? text.split(',').filter((part) => part !== '') : text;

const Shape = {
  instance: z
    .string()
    .regex(
      /^[A-Za-z0-9._-]{1,100}$/,
      'must be 1 to 100 letters, digits, dots, dashes or underscores',
    ),
  dataCentre: z
    .string()
    .regex(
      /^[A-Za-z0-9._-]{1,100}$/,
      'must be 1 to 100 letters, digits, dots, dashes or underscores',
    ),
  host: z.ipv4('must be an IPv4 address').default('127.0.0.1'),
  callerPort: Port.default(8080),
  guardPort: Port.default(8081),
  linkPort: Port.default(8082),
  operatorsPort: Port.default(8083),
  platform: z.url({ protocol: /^http$/, error: 'must be an http:// URL' }),
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

/** Description of each flag, printed by `--help`. */
export const FLAG_HELP: Readonly<Record<keyof typeof Shape, string>> = {
  instance: 'Name of this instance, unique in the fleet',
  dataCentre: 'Data centre in which this instance runs',
  host: 'IPv4 address to listen on, by which other processes reach this one',
  callerPort: 'Port for callers; 0 picks any free port',
  guardPort: 'Port for requests from other processes',
  linkPort: 'Port for links from other processes',
  operatorsPort: 'Port for operators, metrics and announcements of the local upstream instance',
  platform: "URL of the platform's object API",
  peers: 'Comma-separated host:port of the link ports of some other processes',
  upstreamName: 'Name of the upstream whose local instance this process serves, if known',
  upstreamAddress: 'host:port of the local upstream instance',
  profile: 'What to optimise for: convergence (speed) or bytes (less traffic)',
  codec: 'Encoding on links, the same in the whole fleet: msgpack or json',
  fanout: 'Children per process in the distribution tree',
  heartbeatMs: 'Interval between heartbeats on links, in milliseconds',
  noticeMs: 'Time between announcing a stop and closing the ports, in milliseconds',
  drainMs:
    'Final part of the notice, in which the upstream instance gets no new work, in milliseconds',
  leaseMs: 'How long an announcement of the upstream instance is valid, in milliseconds',
  retryPercent:
    'Retries as a percentage of answered requests, for routes without a limit of their own',
  retrySlack:
    'Additional retries that the whole fleet may make per window; a fixed number per process if absent',
  retryWindowMs: 'Length of the window of --retry-slack, in milliseconds',
  uplinkKbps:
    'Capacity of the network link of this machine, in kilobits per second; large responses are not paced if absent',
  rolloutShare:
    "Largest share of an upstream's requests that a bad version may get during a rollout, 0 to 1",
  logLevel: 'Lowest level logged to standard output: debug, info, warn or silent',
  stopMs: 'Longest time that a stop may take to finish requests in flight, in milliseconds',
};

export const Settings = z.strictObject(Shape);
export type Settings = z.infer<typeof Settings>;

/** An invalid setting; the message names the flag, the value and what is allowed. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Turns the name of a setting into its flag: `dataCentre` into `data-centre`. */
export function flagName(setting: string): string {
  return setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Name of the environment variable that is read if the flag is absent. */
export function variableName(setting: string): string {
  return `BARLEYHAVEN_${flagName(setting).replaceAll('-', '_').toUpperCase()}`;
}

/** Reads settings; flags take precedence over the environment. Throws `SettingsError`. */
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
