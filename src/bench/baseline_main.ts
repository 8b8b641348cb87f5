/**
 * The baseline of the experiments on configuration: every proxy watches the source and reads the
 * whole configuration with each change. Settings: address of the platform, name of the process.
 */
import { createServer, type ServerResponse } from 'node:http';
import { HttpPlatform } from '../platform/http_platform.js';
import { type Stored } from '../platform/platform.js';
import { MachineClock } from '../runtime/clock.js';
import { listen } from '../standins/listen.js';
import { BASELINE_HEAD, BASELINE_WHOLE, type BaselineHead } from './baseline.js';

const WATCH_MS = 10_000;
const CALL_MS = 10_000;
const RETRY_MS = 100;

const [address = '', name = ''] = process.argv.slice(2);
const clock = new MachineClock();
const platform = new HttpPlatform(new URL(address), clock);
const waiting = new Set<() => void>();
let number = 0;

async function follow(): Promise<void> {
  const range = { prefix: BASELINE_HEAD, after: `${BASELINE_HEAD}/${pad(number)}` };
  const found = await platform.watch(range, clock.now() + WATCH_MS);
  const head = found.at(-1);
  if (!head) return;
  const whole = await platform.get(BASELINE_WHOLE, clock.now() + CALL_MS);
  number = Math.max(versionOf(head), whole ? (JSON.parse(whole.value) as BaselineHead).number : 0);
  for (const wake of waiting) wake();
}

function versionOf(head: Stored): number {
  return (JSON.parse(head.value) as BaselineHead).number;
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
    waiting.add(wake);
    await clock.sleepUntil(until, woken.signal);
    waiting.delete(wake);
  }
  response.end(JSON.stringify({ number }));
}

const server = createServer((request, response) => {
  void answerVersion(new URL(request.url ?? '/', 'http://baseline'), response);
});
const operatorsPort = await listen(server);
const registered = `baseline-instances/${name}-${process.pid}`;
await platform.create(registered, JSON.stringify({ name }), clock.now() + CALL_MS).catch(() => {});
console.log(JSON.stringify({ operatorsPort }));
for (;;) {
  try {
    await follow();
  } catch {
    await clock.sleepUntil(clock.now() + RETRY_MS);
  }
}
