/**
 * One of three endpoints of a service hands out wrong bytes in a few of its answers: heads of 1xx without end.
 * Counts the requests that have no final answer half a second after their route's timeout.
 */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { Endpoint } from '../standins-2/endpoint.mjs';
import { call, Fleet, machineOf, PORTS, Record, runScript, sleep } from '../standins-2/fleet.mjs';
import { BOUNDS, configuration, CONTRACTS, route, ZONES } from '../standins-2/site.mjs';
import { Store } from '../standins-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const OTHER_SERVICE = 'kafi81c';
const LEAD_MS = 10_000;
const CALM_MS = 4_000;
/** As `garble` of the site: at most 0.05 of the answers, for 5 s. */
const FAULTY_SHARE = 0.05;
const FAULTY_MS = 5_000;
const AFTER_MS = 5_000;
const TIMEOUT_MS = 1_200;
const LATE_MS = 500;
const BUDGET_MS = 2_500;
/** Requests a second at each machine. */
const PER_S = 40;
/** Requests a second for the other service at the machine of the faulty endpoint. */
const OTHERS_PER_S = 80;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const machines = [...ZONES, ...ZONES].map((zone, index) =>
  machineOf(index, zone, index < ZONES.length ? OTHER_SERVICE : SERVICE),
);
const faulty = machines.at(-1);
const store = new Store();
const storePort = await store.start();
const routes = {
  'r-1': route('/lepu270/', SERVICE, { kind: 'unsafe' }),
  'r-2': route('/xapu221/', OTHER_SERVICE),
};
store.put('config', 'main', configuration(7, routes, [SERVICE, OTHER_SERVICE]));
const seeds = machines.slice(0, 3).map(({ ip }) => `${ip}:${PORTS.control}`);
const fleet = new Fleet(machines, record, {
  storePort,
  contracts: CONTRACTS,
  bounds: BOUNDS,
  seeds,
});
const endpoints = machines
  .slice(0, -1)
  .map((machine) => new Endpoint(machine, { workMs: 30, record: (line) => record.line(line) }));
const program = fileURLToPath(new URL('faulty_endpoint.mjs', import.meta.url));
const child = fork(program, [JSON.stringify(faulty), String(FAULTY_SHARE)]);
const wrong = new Set();
child.on('message', ({ faulty: id, run }) => {
  if (id !== undefined) wrong.add(id);
  record.line(id === undefined ? `run ${run} at ${faulty.name}` : `wrong bytes for ${id}`);
});
const answers = [];
let sending = true;
let lagMs = 0;

async function send(machine, path, method, id) {
  const at = Date.now();
  const headers = { 'barleyhaven-timeout-ms': BUDGET_MS };
  const { status } = await call(machine, {
    id,
    path: `${path}${id}`,
    method,
    headers,
    timeoutMs: 8_000,
  });
  const tookMs = Date.now() - at;
  answers.push({ id, status, tookMs });
  record.line(`answer ${id} ${status} after ${tookMs} ms`);
}

async function consume(machine, path, method, perS) {
  for (let sent = 1; sending; sent++) {
    send(machine, path, method, `${machine.name}${path.replaceAll('/', '-')}${sent}`);
    await sleep(1_000 / perS);
  }
}

/** How late timers of this process are, which would make answers look late. */
async function watchLag() {
  while (sending) {
    const at = Date.now();
    await sleep(20);
    lagMs = Math.max(lagMs, Date.now() - at - 20);
  }
}

async function play() {
  for (const endpoint of endpoints) await endpoint.start();
  await fleet.start(machines);
  await sleep(LEAD_MS);
  await fleet.untilReady(machines, 10_000);
  record.line('traffic starts');
  watchLag();
  for (const machine of machines) consume(machine, '/lepu270/', 'POST', PER_S);
  consume(faulty, '/xapu221/', 'GET', OTHERS_PER_S);
  await sleep(CALM_MS);
  if (HAS_TROUBLE) child.send({ faultyMs: FAULTY_MS });
  await sleep(FAULTY_MS + AFTER_MS);
  sending = false;
  await sleep(8_500);
  const sound = answers.filter(({ id }) => !wrong.has(id));
  const long = answers.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const late = long.filter(({ tookMs }) => tookMs > TIMEOUT_MS + LATE_MS);
  const longest = Math.max(...answers.map(({ tookMs }) => tookMs));
  const failed = sound.filter(({ status }) => status !== 200).length;
  record.print(
    `wrong bytes for ${wrong.size} of ${answers.length} requests; of the others ${failed} were not served; ` +
      `longer than the timeout: ${long.length}, of these without a final answer ${LATE_MS} ms after it: ` +
      `${late.length}; longest ${longest} ms; this script late by ${lagMs} ms at most`,
  );
  if (lagMs > LATE_MS / 2) throw new Error('this script was too late to tell');
  return late.length >= 8 && late.length > long.length / 4 ? 1 : 0;
}

async function end() {
  sending = false;
  if (child.connected) child.disconnect();
  await fleet.end();
  for (const endpoint of endpoints) await endpoint.stop();
  store.stop();
}

await runScript(record, play, end);
