/**
 * Run by the build: starts two instances in one process against stand-ins, serves some requests,
 * and writes the code that V8 has compiled by then to the code cache.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Signals } from '../daemon/signals.js';
import { MachineClock } from '../runtime/clock.js';
import {
  callHeaders,
  type MeshMachine,
  meshMachine,
  configurationObject,
  PORTS,
  applyConfiguration,
  writeSettings,
} from '../standins/mesh_machine.js';
import { MeshUpstream } from '../standins/mesh_upstream.js';
import { PlatformServer } from '../standins/platform_server.js';
import { loadWithCodeCache } from './code_cache.js';

const SERVICES = ['rehearsal'];
const ROUTES = 20;
const REQUESTS = 200;
/** Two more versions are published: a later one takes a different code path than the first. */
const REQUESTS_PER_VERSION = 100;
const BYTES = 5_000;
const DELAY_MS = 2;
/** Time for the instances to find each other and load the configuration, in milliseconds. */
const SETTLE_MS = 2_500;
const STORE_CALL_MS = 5_000;
const OK = 200;

const clock = new MachineClock();
const signals = new Signals(clock);

async function rehearse(): Promise<number> {
  const loaded = loadWithCodeCache(join(__dirname, 'barleyhavend.cjs'));
  const { store, url } = await PlatformServer.start(clock);
  await applyConfiguration(store, configurationObject(1, ROUTES, SERVICES), callDeadline());
  const machines = [0, 1].map((index) => meshMachine(index, 1, SERVICES));
  const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
  for (const machine of machines) {
    await MeshUpstream.start(clock, machine, { delayMs: DELAY_MS, bytes: BYTES });
    const path = join(folder, machine.name);
    const environment = await writeSettings(path, machine, machines, Number(url.port));
    void loaded.bundle.run(environment, signals);
  }
  await clock.sleepUntil(clock.now() + SETTLE_MS);
  let served = 0;
  for (let count = 1; count <= REQUESTS; count++) {
    if (await call(machines[count % machines.length]!, count)) served += 1;
    if (count % REQUESTS_PER_VERSION === 0) {
      const number = 1 + count / REQUESTS_PER_VERSION;
      await applyConfiguration(
        store,
        configurationObject(number, ROUTES + number, SERVICES),
        callDeadline(),
      );
    }
  }
  loaded.writeCache();
  await rm(folder, { recursive: true });
  return served;
}

function callDeadline(): number {
  return clock.now() + STORE_CALL_MS;
}

function call({ host }: MeshMachine, count: number): Promise<boolean> {
  const path = `/${SERVICES[0]}/${count % ROUTES}/${count}`;
  const headers = callHeaders(`rehearsal-${count}`);
  return new Promise((resolve) => {
    const outgoing = request({ host, port: PORTS.outbound, path, headers }, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode === OK));
    });
    outgoing.on('error', () => resolve(false));
    outgoing.end();
  });
}

void rehearse().then((served) => {
  process.stderr.write(`rehearsed: ${served} of ${REQUESTS} requests served\n`);
  // eslint-disable-next-line n/no-process-exit -- the instances would keep serving otherwise
  process.exit(served > 0 ? 0 : 1);
});
