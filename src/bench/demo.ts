/**
 * Demonstrates release notes and request handling on an in-process fleet, with stand-ins for the
 * platform and the upstreams. Takes less than half a minute; described in the README.
 */
import { Agent } from 'node:http';
import { type AuditPage, ReleaseNote } from '../contracts.js';
import { MachineClock } from '../runtime/clock.js';
import { type Acceptance } from '../source/acceptance.js';
import { Client } from '../tool/client.js';
import { renderAudit } from '../tool/render_audit.js';
import { sendRequest } from './http_client.js';
import { Fleet } from './fleet.js';

const clock = new MachineClock();
const CONVERGENCE_TIMEOUT_MS = 5_000;
const JOIN_TIMEOUT_MS = 8_000;
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

let hasFailed = false;

function report(text: string, isPassed = true): void {
  if (!isPassed) hasFailed = true;
  console.log(`${isPassed ? ' ok ' : 'FAIL'}  ${text}`);
}

async function publish(fleet: Fleet, client: Client, note: ReleaseNote): Promise<void> {
  const startedAt = clock.now();
  const acceptance = await client.call<Acceptance>('submit', note);
  const number = acceptance.outcome === 'accepted' ? acceptance.record.version.number : Infinity;
  const isHeldEverywhere = () =>
    fleet.nodes.every(({ instance }) => instance.replica.current.number >= number);
  const isConverged = await fleet.waitUntil(isHeldEverywhere, clock.now() + CONVERGENCE_TIMEOUT_MS);
  const tookMs = Math.round(clock.now() - startedAt);
  report(
    `${note.id}: ${acceptance.outcome} as version ${number}, held by all processes after ${tookMs} ms`,
    isConverged,
  );
}

async function sendRequests(fleet: Fleet, path: string, name: string): Promise<void> {
  using agent = disposable(new Agent({ keepAlive: true, maxSockets: CALLERS }));
  let sent = 0;
  const counts = { answered: 0, notRun: 0, wrong: 0 };
  const caller = async () => {
    while (sent < REQUESTS) {
      sent += 1;
      const id = `${name}-${sent}`;
      const { port } = pickProxy(fleet, sent);
      const answer = await sendRequest({
        port,
        path,
        headers: { 'x-request': id },
        agent: agent.value,
      });
      const runs = fleet.nodes.reduce((sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0), 0);
      if (answer.status === 200 && runs === 1 && answer.headers['x-request'] === id)
        counts.answered += 1;
      else if (answer.headers['barleyhaven-verdict'] === 'not-run' && runs === 0)
        counts.notRun += 1;
      else counts.wrong += 1;
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, caller));
  const { answered, notRun, wrong } = counts;
  report(
    `${name}: ${answered} answered once, ${notRun} refused as not run, ${wrong} lost or run twice`,
    wrong === 0,
  );
}

function pickProxy(fleet: Fleet, turn: number): { port: number } {
  return { port: fleet.nodes[turn % fleet.nodes.length]!.instance.callerPort };
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
  const [first] = fleet.nodes;
  const size = fleet.nodes.length;
  const isJoined = () =>
    fleet.nodes.every(
      ({ instance }) =>
        instance.isReady &&
        instance.roster.live().filter((member) => member.endpoint?.state === 'ready').length ===
          size,
    );
  report(
    `${size} proxies in 3 data centres have joined the mesh and are ready`,
    await fleet.waitUntil(isJoined, clock.now() + JOIN_TIMEOUT_MS),
  );
  const client = new Client(`127.0.0.1:${first!.instance.operatorsPort}`);
  await publish(fleet, client, FIRST_NOTE);
  await sendRequests(fleet, '/menus/today', 'menus');
  const closingLoad = sendRequests(fleet, '/seats/12', 'seats while their route is withdrawn');
  await clock.sleepUntil(clock.now() + 60);
  await publish(fleet, client, CLOSING_NOTE);
  await closingLoad;
  console.log('\nAudit trail:');
  const { entries } = await client.call<AuditPage>('audit');
  console.log(renderAudit(entries));
}

await main();
console.log(hasFailed ? '\nThe demo failed.' : '\nAll checks passed.');
process.exitCode = hasFailed ? 1 : 0;
