// The operator rotates keys: a version adds one key to a large tenant, which then has 65, takes one
// key away from another tenant, and moves a route.
import { BROKEN, configuration, hasTrouble, HELD, route, runCase, sleep } from '../harness.mjs';

const SERVICES = ['saldo', 'begunstiget'];
/** `configApply` of the site. */
const CONFIG_APPLY_MS = 2_500;
const JUDGED_MS = 10_000;
const CALL_EVERY_MS = 250;
const CALM_MS = 4_000;
const KEYS_BEFORE = 64;
const RESTART_AFTER_MS = 1_000;
/** `recovery` of the site. */
const RECOVERY_MS = 15_000;

const plan = Array.from({ length: 6 }, (_, index) => ({
  zone: ['oslo-a', 'oslo-b'][index % 2],
  service: SERVICES[Math.floor(index / 2) % 2],
}));

const largeKeys = Array.from({ length: KEYS_BEFORE + 1 }, (_, index) => `large-key-${index}-k7q2m`);
const [addedKey] = largeKeys.slice(-1);
const keptKey = 'small-key-kept-x41vz';
const removedKey = 'small-key-removed-p93tw';

function version(number, movedTo, largeTenantKeys, smallTenantKeys) {
  const routes = {
    balance: route('/balance/', 'saldo', { public: false }),
    moved: route('/moved/', movedTo, { public: false }),
  };
  const tenants = {
    large: { apiKeys: largeTenantKeys, priority: 1, ratePerS: 0, burst: 0 },
    small: { apiKeys: smallTenantKeys, priority: 1, ratePerS: 0, burst: 0 },
  };
  return configuration(number, routes, SERVICES, { tenants });
}

async function conduct(incoming, response, headers) {
  incoming.resume();
  response.writeHead(200, { ...headers, 'content-length': 2 });
  response.end('ok');
}

await runCase(import.meta.url, plan, async (fleet, recorder) => {
  const { machines, store } = fleet;
  fleet.contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'tenants', 'platform'];
  const oldKeys = largeKeys.slice(0, KEYS_BEFORE);
  store.put('config', 'main', version(7, 'saldo', oldKeys, [keptKey, removedKey]));
  await fleet.start(conduct);
  recorder.say(`${machines.length} machines ready`);
  await sleep(CALM_MS);

  // Without the disruption the new key takes the place of an old one.
  const newKeys = hasTrouble ? largeKeys : largeKeys.slice(1);
  store.put('config', 'main', version(9, 'begunstiget', newKeys, [keptKey]));
  const ackedAt = recorder.now;
  recorder.say(`the store has acknowledged r9: tenant large has ${newKeys.length} keys`);
  await sleep(CONFIG_APPLY_MS);

  const calls = [];
  for (let round = 1; recorder.now < ackedAt + JUDGED_MS; round += 1) {
    for (const machine of machines) {
      calls.push(call('moved', machine, `m${round}-${machine.index}`, '/moved/', keptKey));
      calls.push(call('removed', machine, `r${round}-${machine.index}`, '/balance/', removedKey));
      calls.push(call('added', machine, `a${round}-${machine.index}`, '/balance/', addedKey));
    }
    await sleep(CALL_EVERY_MS);
  }
  const results = await Promise.all(calls);
  const count = (kind, test) => results.filter((each) => each.kind === kind && test(each)).length;
  const total = results.length / 3;
  const old = {
    moved: count('moved', ({ service }) => service === 'saldo'),
    removed: count('removed', ({ service }) => service !== undefined),
    added: count('added', ({ status }) => status === 401),
  };
  recorder.say(`sent over ${CONFIG_APPLY_MS} ms after the ack, ${total} of each kind:`);
  recorder.say(`  for the moved route, run by the old service: ${old.moved}`);
  recorder.say(`  with the key that was taken away, run: ${old.removed}`);
  recorder.say(`  with the key that was added, refused with 401: ${old.added}`);
  if (!results.some(({ service }) => service !== undefined)) throw new Error('nothing was run');
  await restartAll();
  return old.moved + old.removed + old.added > 0 ? BROKEN : HELD;

  /** For the record only: what the same version does once all processes have been killed. */
  async function restartAll() {
    for (const { child } of machines) child?.kill('SIGKILL');
    await sleep(RESTART_AFTER_MS);
    for (const machine of machines) await machine.startProcess();
    recorder.say('all processes were killed and are started again');
    await sleep(RECOVERY_MS);
    const ready = await Promise.all(machines.map((machine) => machine.isReady()));
    const again = await Promise.all(
      machines.map((machine, index) => call('kept', machine, `k${index}`, '/balance/', keptKey)),
    );
    const served = again.filter(({ status }) => status === 200).length;
    recorder.say(`  ${RECOVERY_MS} ms later ${ready.filter(Boolean).length} of them are ready,`);
    recorder.say(`  and ${served} of ${again.length} requests are served`);
  }

  async function call(kind, machine, id, prefix, key) {
    const headers = { authorization: `Token ${key}` };
    const { status } = await machine.call(id, { path: `${prefix}${id}`, headers });
    return { kind, status, service: fleet.runs.find((run) => run.id === id)?.service };
  }
});
