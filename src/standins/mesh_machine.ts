/** A machine as the operators' platform describes it to the process on it, on loopback. */
import { writeFile } from 'node:fs/promises';
import { type PlatformStore } from './platform_store.js';

/** Ports are the same on all machines; each has a loopback address of its own. */
export const PORTS = { inbound: 8624, outbound: 8629, ready: 8625, control: 8620, upstream: 8628 };
const INTERNAL_PORTS = [7600, 7615] as const;
/** Key under which the operator's object stands in the store. */
const CONFIGURATION = 'config/main';
/** Host of all routes. */
const HOST = 'suppers.example';
/** Machines that a settings file names as a way in. */
const SEEDS = 3;

export interface MeshMachine {
  readonly name: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly service: string;
}

/**
 * `index` counts from 0; data centres and services are given out in turn. Fleets of several processes that
 * run at the same time have addresses of their own.
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

/** Writes the settings file of a machine; resolves to the environment that names it to its process. */
export async function writeSettings(
  path: string,
  machine: MeshMachine,
  all: readonly MeshMachine[],
  storePort: number,
): Promise<Readonly<Record<string, string>>> {
  const at = (port: number, host = machine.host) => `${host}:${port}`;
  const settings = {
    nodeName: machine.name,
    ip: machine.host,
    zone: machine.dataCentre,
    listen: {
      inbound: at(PORTS.inbound),
      outbound: at(PORTS.outbound),
      ready: at(PORTS.ready),
      control: at(PORTS.control),
    },
    internalPortRange: INTERNAL_PORTS,
    seeds: all.slice(0, SEEDS).map(({ host }) => at(PORTS.control, host)),
    heartbeat: '1500ms',
    bounds: { grace: '6s', retryBudgetRatio: 0.2, budgetSlack: 218, budgetWindow: '10s' },
    limits: { maxFds: 4100, linkMbps: 100 },
    service: machine.service,
    appAddr: at(PORTS.upstream),
    platform: { address: `127.0.0.1:${storePort}` },
  };
  await writeFile(path, JSON.stringify(settings));
  return { BARLEYHAVEN_SETTINGS: path };
}

/** Puts an operator's object in force, the first one or a later. `deadline` in ms since the epoch. */
export async function putInForce(
  store: PlatformStore,
  value: string,
  deadline: number,
): Promise<void> {
  const before = await store.get(CONFIGURATION, deadline);
  if (before) await store.update(CONFIGURATION, value, before.revision, deadline);
  else await store.create(CONFIGURATION, value, deadline);
}

/** A configuration as the operator writes it: so many routes, given to the services in turn. */
export function operatorsObject(
  number: number,
  routes: number,
  services: readonly string[],
): string {
  const named = Array.from({ length: routes }, (_, index) => [
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
    routes: Object.fromEntries(named) as Record<string, unknown>,
    services: Object.fromEntries(services.map((name) => [name, { healthPath: '/healthz' }])),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: '5s',
      idleTimeout: '10s',
    },
  });
}

/** What a caller sends with a request. */
export function callHeaders(id: string): Readonly<Record<string, string>> {
  return { host: HOST, 'barleyhaven-request-id': id, 'barleyhaven-timeout-ms': '8000' };
}
