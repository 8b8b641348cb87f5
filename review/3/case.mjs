// The store turns six of eighteen machines away, those that call it at that moment, and serves the
// other twelve. Then the operator changes the configuration.
import {
  BROKEN,
  configuration,
  hasTrouble,
  HELD,
  route,
  runCase,
  send,
  sleep,
} from '../harness.mjs';

const ZONES = ['north-a', 'north-b', 'north-c'];
const SERVICES = ['listings', 'bookings', 'host-files'];
const MACHINES_PER_ZONE = 6;
/** `configApply` and `outer` of the site. */
const CONFIG_APPLY_MS = 2_000;
const OUTER_MS = 5_000;
/** Share of the machines and length: the site file has up to 0.35 and 9.0 s for this impairment. */
const MAX_SHARE = 0.35;
const IMPAIRED_MS = 8_500;
const CHANGE_AFTER_MS = 500;
const CALL_EVERY_MS = 250;
const CALM_MS = 4_000;

const plan = Array.from({ length: ZONES.length * MACHINES_PER_ZONE }, (_, index) => ({
  zone: ZONES[index % ZONES.length],
  service: SERVICES[Math.floor(index / ZONES.length) % SERVICES.length],
}));

const before = configuration(
  7,
  { kept: route('/kept/', 'listings'), moved: route('/moved/', 'listings') },
  SERVICES,
);
const after = configuration(
  9,
  { kept: route('/kept/', 'listings'), moved: route('/moved/', 'host-files') },
  SERVICES,
);

async function conduct(incoming, response, headers) {
  incoming.resume();
  response.writeHead(200, { ...headers, 'content-length': 2 });
  response.end('ok');
}

await runCase(import.meta.url, plan, async (fleet, recorder) => {
  const { machines, store } = fleet;
  store.put('config', 'main', before);
  await fleet.start(conduct);
  recorder.say(`${machines.length} machines ready`);
  await sleep(CALM_MS);

  const callers = store.watchers;
  const away = callers.slice(0, Math.floor(MAX_SHARE * machines.length));
  recorder.say(`machines that call the store: ${callers.map((index) => machines[index].name)}`);
  if (hasTrouble) {
    store.turnAway(away);
    recorder.say(`the store turns ${away.length} of ${machines.length} machines away with 503`);
  }
  const endsAt = recorder.now + IMPAIRED_MS;
  const impairment = sleep(IMPAIRED_MS).then(() => {
    store.turnAway([]);
    recorder.say('the store serves all machines again');
  });
  await sleep(CHANGE_AFTER_MS);
  store.put('config', 'main', after);
  const ackedAt = recorder.now;
  recorder.say('the store has acknowledged r9: /moved/ goes to host-files');

  const served = machines.filter(({ index }) => !away.includes(index));
  const calls = [];
  const reads = [];
  for (let round = 1; recorder.now < endsAt; round += 1) {
    reads.push(...served.map((machine) => readVersion(machine)));
    for (const machine of served) calls.push(callMoved(machine, `r${round}-${machine.index}`));
    await sleep(CALL_EVERY_MS);
  }
  await impairment;
  await Promise.all(calls);

  const results = (await Promise.all(calls)).filter(({ service }) => service !== undefined);
  const count = (from, service) =>
    results.filter((result) => result.sentMs > from && result.service === service).length;
  const late = count(CONFIG_APPLY_MS, 'listings');
  const later = count(CONFIG_APPLY_MS + OUTER_MS, 'listings');
  const right = count(CONFIG_APPLY_MS, 'host-files');
  const served9 = (await Promise.all(reads)).filter((version) => version === 'r9').length;
  recorder.say(`${served9} of ${reads.length} reads of config/main from these machines show r9`);
  recorder.say(`at ${served.length} machines that the store serves, requests for /moved/:`);
  recorder.say(`  sent over ${CONFIG_APPLY_MS} ms after the ack: ${late} run by listings`);
  recorder.say(`  of these over ${CONFIG_APPLY_MS + OUTER_MS} ms after it: ${later}`);
  recorder.say(`  sent over ${CONFIG_APPLY_MS} ms after the ack: ${right} run by host-files`);
  if (late + right === 0) throw new Error('no request was run late enough to judge');
  return late > 0 ? BROKEN : HELD;

  /** Reads the configuration at the address that the settings of the machine name. */
  async function readVersion(machine) {
    const [host, port] = fleet.storeAddresses[machine.index].split(':');
    const answer = await send({ host, port, path: '/api/objects/config/main', timeoutMs: 1_000 });
    return answer.status === 200 ? JSON.parse(answer.body).spec.version : undefined;
  }

  async function callMoved(machine, id) {
    const sentMs = recorder.now - ackedAt;
    await machine.call(id, { path: `/moved/${id}` });
    return { sentMs, service: fleet.runs.find((run) => run.id === id)?.service };
  }
});
