/** Settings and configuration of simulated machines on loopback, in the operators' platform's format. */
import { writeFile } from 'node:fs/promises';
import { type PlatformStore } from './platform_store.js';

/** Ports, the same on all machines: each machine has a loopback address of its own. */
export const PORTS = { inbound: 8624, outbound: 8629, ready: 8625, control: 8620, upstream: 8628 };
/** Path of the health check of every upstream instance. */
export const HEALTH_PATH = '/healthz';
/** First and last port of the range for use between processes. */
export const INTERNAL_PORTS = [7600, 7615] as const;
/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'BARLEYHAVEN_SETTINGS';
/** Key of the operator's configuration object in the store. */
const CONFIGURATION_KEY = 'config/main';
/** Host name of all routes. */
const HOST = 'suppers.example';
/** Number of machines that a settings file lists as seeds for joining. */
const SEED_COUNT = 3;

export interface MeshMachine {
  readonly name: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly service: string;
}

/**
 * Describes machine number `index`, from 0; data centres and services are assigned round-robin. The address
 * depends on the process id, so that fleets of several test processes can run at the same time.
 */
export function meshMachine(
  index: number,
  dataCentres: number,
  services: readonly string[],
): MeshMachine {
  return {
    name: `machine-${index}`,
    host: `127.${1 + (process.pid % 250)}.${1 + Math.floor(index / 250)}.${1 + (index % 250)}`,
    dataCentre: `dc-${index % dataCentres}`,
    service: services[index % services.length]!,
  };
}

/** Writes the settings file of a machine; resolves to the environment variables that point to it. */
export async function writeSettings(
  path: string,
  machine: MeshMachine,
  all: readonly MeshMachine[],
  storePort: number,
): Promise<Readonly<Record<string, string>>> {
  const address = (port: number, host = machine.host) => `${host}:${port}`;
  const settings = {
    nodeName: machine.name,
    ip: machine.host,
    zone: machine.dataCentre,
    listen: {
      inbound: address(PORTS.inbound),
      outbound: address(PORTS.outbound),
      ready: address(PORTS.ready),
      control: address(PORTS.control),
    },
    internalPortRange: INTERNAL_PORTS,
    seeds: all.slice(0, SEED_COUNT).map(({ host }) => address(PORTS.control, host)),
    heartbeat: '1500ms',
    bounds: { grace: '6s', retryBudgetRatio: 0.2, budgetSlack: 218, budgetWindow: '10s' },
    limits: { maxFds: 4100, linkMbps: 100 },
    service: machine.service,
    appAddr: address(PORTS.upstream),
    platform: { address: `127.0.0.1:${storePort}` },
  };
  await writeFile(path, JSON.stringify(settings));
  return { [SETTINGS_VARIABLE]: path };
}

/** Creates or updates the operator's configuration object. `deadline` in ms since the epoch. */
export async function applyConfiguration(
  store: PlatformStore,
  value: string,
  deadline: number,
): Promise<void> {
  const current = await store.get(CONFIGURATION_KEY, deadline);
  if (current) await store.update(CONFIGURATION_KEY, value, current.revision, deadline);
  else await store.create(CONFIGURATION_KEY, value, deadline);
}

/** An operator's configuration object with `routes` routes, assigned to the services round-robin. */
export function configurationObject(
  number: number,
  routes: number,
  services: readonly string[],
): string {
  const routeEntries = Array.from({ length: routes }, (_, index) => [
    `route-${index}`,
    {
      host: HOST,
      pathPrefix: `/${services[index % services.length]}/${index}/`,
      kind: 'safe',
      timeout: '4s',
      targetLatency: '2s',
      priority: 2,
      maxAttempts: 2,
      service: services[index % services.length],
    },
  ]);
  return JSON.stringify({
    version: `r${number}`,
    routes: Object.fromEntries(routeEntries) as Record<string, unknown>,
    services: Object.fromEntries(services.map((name) => [name, { healthPath: HEALTH_PATH }])),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: '5s',
      idleTimeout: '10s',
    },
  });
}

/** Headers of a caller's request. */
export function callHeaders(id: string): Readonly<Record<string, string>> {
  return { host: HOST, 'barleyhaven-request-id': id, 'barleyhaven-timeout-ms': '8000' };
}
