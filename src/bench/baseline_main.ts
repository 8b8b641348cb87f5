/**
 * Baseline for the configuration experiments: every proxy watches the platform and reads the whole
 * configuration on each change. Arguments: URL of the platform, name of the process.
 */
import { createServer, type ServerResponse } from 'node:http';
import { HttpPlatform } from '../platform/http_platform.js';
import { type Stored } from '../platform/platform.js';
import { MachineClock } from '../runtime/clock.js';
import { listen } from '../standins/listen.js';
import {
  BASELINE_VERSIONS_PREFIX,
  BASELINE_CONFIGURATION_KEY,
  type BaselineVersion,
} from './baseline.js';

const WATCH_TIMEOUT_MS = 10_000;
const CALL_TIMEOUT_MS = 10_000;
const RETRY_MS = 100;

const [address = '', name = ''] = process.argv.slice(2);
const clock = new MachineClock();
const platform = new HttpPlatform(new URL(address), clock);
const waiters = new Set<() => void>();
let number = 0;

async function watchForVersion(): Promise<void> {
  const range = {
    prefix: BASELINE_VERSIONS_PREFIX,
    after: `${BASELINE_VERSIONS_PREFIX}/${pad(number)}`,
  };
  const found = await platform.watch(range, clock.now() + WATCH_TIMEOUT_MS);
  const latest = found.at(-1);
  if (!latest) return;
  const configuration = await platform.get(
    BASELINE_CONFIGURATION_KEY,
    clock.now() + CALL_TIMEOUT_MS,
  );
  number = Math.max(
    versionOf(latest),
    configuration ? (JSON.parse(configuration.value) as BaselineVersion).number : 0,
  );
  for (const wake of waiters) wake();
}

function versionOf(head: Stored): number {
  return (JSON.parse(head.value) as BaselineVersion).number;
}

function pad(value: number): string {
  return String(value).padStart(12, '0');
}

async function answerVersion(url: URL, response: ServerResponse): Promise<void> {
  const above = Number(url.searchParams.get('above') ?? -1);
  const until = clock.now() + Number(url.searchParams.get('wait') ?? 0);
  while (number <= above && clock.now() < until) {
    const woken = new AbortController();
    const wake = () => woken.abort();
    waiters.add(wake);
    await clock.sleepUntil(until, woken.signal);
    waiters.delete(wake);
  }
  response.end(JSON.stringify({ number }));
}

const server = createServer((request, response) => {
  void answerVersion(new URL(request.url ?? '/', 'http://baseline'), response);
});
const operatorsPort = await listen(server);
const registrationKey = `baseline-instances/${name}-${process.pid}`;
await platform
  .create(registrationKey, JSON.stringify({ name }), clock.now() + CALL_TIMEOUT_MS)
  .catch(() => {});
console.log(JSON.stringify({ operatorsPort }));
for (;;) {
  try {
    await watchForVersion();
  } catch {
    await clock.sleepUntil(clock.now() + RETRY_MS);
  }
}
