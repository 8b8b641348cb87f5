/** The main job in under half a minute, over stand-ins: see the README. */
import { Agent } from 'node:http';
import { type AuditPage, ReleaseNote } from '../contracts.js';
import { MachineClock } from '../runtime/clock.js';
import { type Acceptance } from '../source/acceptance.js';
import { Client } from '../tool/client.js';
import { renderAudit } from '../tool/render_audit.js';
import { ask } from './caller.js';
import { Fleet } from './fleet.js';

const clock = new MachineClock();
const CONVERGE_MS = 5_000;
const SETTLE_MS = 8_000;
const REQUESTS = 1_000;
const CALLERS = 20;

const FIRST_NOTE = ReleaseNote.parse({
  id: 'opening-night',
  author: 'dana',
  add: {
    upstreams: [{ name: 'listings' }, { name: 'bookings' }],
    limits: [{ name: 'standard', slots: 20 }],
    rules: [{ name: 'bounded', everywhere: true, requireLimit: true, maxTimeoutMs: 5_000 }],
    routes: [
      {
        name: 'menus',
        pathPrefix: '/menus',
        upstream: 'listings',
        limit: 'standard',
        timeoutMs: 2_000,
      },
      {
        name: 'seats',
        pathPrefix: '/seats',
        upstream: 'bookings',
        limit: 'standard',
        timeoutMs: 2_000,
        repeatable: false,
      },
    ],
  },
});
const CLOSING_NOTE = ReleaseNote.parse({
  id: 'seats-sold-out',
  author: 'omar',
  withdraw: { routes: ['seats'] },
});

let failed = false;

function show(text: string, holds = true): void {
  if (!holds) failed = true;
  console.log(`${holds ? ' ok ' : 'FAIL'}  ${text}`);
}

async function inForce(fleet: Fleet, client: Client, note: ReleaseNote): Promise<void> {
  const startedAt = clock.now();
  const acceptance = await client.call<Acceptance>('submit', note);
  const number = acceptance.outcome === 'accepted' ? acceptance.record.version.number : Infinity;
  const holding = () =>
    fleet.stations.every(({ instance }) => instance.replica.current.number >= number);
  const held = await fleet.until(holding, clock.now() + CONVERGE_MS);
  const took = Math.round(clock.now() - startedAt);
  show(
    `${note.id}: ${acceptance.outcome} as version ${number}, in force everywhere in ${took} ms`,
    held,
  );
}

async function load(fleet: Fleet, path: string, name: string): Promise<void> {
  using agent = disposable(new Agent({ keepAlive: true, maxSockets: CALLERS }));
  let sent = 0;
  const counts = { answered: 0, notRun: 0, wrong: 0 };
  const caller = async () => {
    while (sent < REQUESTS) {
      sent += 1;
      const id = `${name}-${sent}`;
      const { port } = pick(fleet, sent);
      const answer = await ask({ port, path, headers: { 'x-request': id }, agent: agent.value });
      const runs = fleet.stations.reduce(
        (sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0),
        0,
      );
      if (answer.status === 200 && runs === 1 && answer.headers['x-request'] === id)
        counts.answered += 1;
      else if (answer.headers['barleyhaven-verdict'] === 'not-run' && runs === 0)
        counts.notRun += 1;
      else counts.wrong += 1;
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, caller));
  const { answered, notRun, wrong } = counts;
  show(
    `${name}: ${answered} answered once, ${notRun} refused as not run, ${wrong} lost or doubled`,
    wrong === 0,
  );
}

function pick(fleet: Fleet, turn: number): { port: number } {
  return { port: fleet.stations[turn % fleet.stations.length]!.instance.callerPort };
}

function disposable(value: Agent) {
  return { value, [Symbol.dispose]: () => value.destroy() };
}

async function main(): Promise<void> {
  await using fleet = await Fleet.start(clock, {
    dataCentres: ['port-of-spain', 'arima', 'san-fernando'],
    upstreams: ['listings', 'bookings', 'listings', 'bookings'],
    delayMs: 5,
  });
  const [first] = fleet.stations;
  const size = fleet.stations.length;
  const acquainted = () =>
    fleet.stations.every(
      ({ instance }) =>
        instance.isReady &&
        instance.roster.live().filter((member) => member.endpoint?.state === 'ready').length ===
          size,
    );
  show(
    `${size} proxies in 3 data centres know each other and are ready`,
    await fleet.until(acquainted, clock.now() + SETTLE_MS),
  );
  const client = new Client(`127.0.0.1:${first!.instance.operatorsPort}`);
  await inForce(fleet, client, FIRST_NOTE);
  await load(fleet, '/menus/today', 'menus');
  const closing = load(fleet, '/seats/12', 'seats while their route is withdrawn');
  await clock.sleepUntil(clock.now() + 60);
  await inForce(fleet, client, CLOSING_NOTE);
  await closing;
  console.log('\nAudit trail:');
  const { entries } = await client.call<AuditPage>('audit');
  console.log(renderAudit(entries));
}

await main();
console.log(failed ? '\nThe demo failed.' : '\nAll of it held.');
process.exitCode = failed ? 1 : 0;
