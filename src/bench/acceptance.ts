/**
 * Measures platform calls per accepted release note, the time a reader needs to start with and
 * without snapshots, and strategies for splitting a snapshot. Writes
 * `bench/results/acceptance.json`.
 */
import { ReleaseNote } from '../contracts.js';
import { Reader } from '../distribution/reader.js';
import { Replica } from '../distribution/replica.js';
import { HttpPlatform } from '../platform/http_platform.js';
import { MachineClock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { VersionLog } from '../source/log.js';
import { LogFeed } from '../source/log_feed.js';
import { Snapshots } from '../source/snapshots.js';
import { Source } from '../source/source.js';
import { PlatformServer } from '../standins/platform_server.js';
import { PlatformStore } from '../standins/platform_store.js';
import { soleReader } from '../standins/sole_reader.js';
import { saveResult } from './results.js';
import { compareSplits } from './splits.js';

const VERSIONS = 10_000;
const RESOURCES = 500;
const STARTS = 5;
const SUBMIT_TIMEOUT_MS = 60_000;
const POLL_MS = 1;

const clock = new MachineClock();

/** Submits one note that adds all resources, then notes that change one resource each. */
async function submitNotes(store: PlatformStore): Promise<object> {
  const source = new Source(store, clock, new SeededRandom(1));
  const names = Array.from({ length: RESOURCES }, (_, index) => `service-${index}`);
  const deadline = () => clock.now() + SUBMIT_TIMEOUT_MS;
  const upstreams = names.map((name) => ({ name }));
  const first = ReleaseNote.parse({ id: 'first', author: 'dana', add: { upstreams } });
  await source.submit(first, deadline());
  const before = { ...store.calls };
  for (let index = 1; index < VERSIONS; index++) {
    const changed = { name: names[index % RESOURCES], about: `changed by ${index}` };
    const change = { upstreams: [changed] };
    const note = ReleaseNote.parse({ id: `note-${index}`, author: 'dana', change });
    await source.submit(note, deadline());
  }
  await source[Symbol.asyncDispose]();
  const perNote = (kind: 'reads' | 'writes') =>
    round((store.calls[kind] - before[kind]) / (VERSIONS - 1));
  return { notes: VERSIONS - 1, readsPerNote: perNote('reads'), writesPerNote: perNote('writes') };
}

/** Starts a reader over HTTP on loopback and runs it until it has caught up with the log. */
async function startReader(server: PlatformServer, hasSnapshots: boolean) {
  await using platform = new HttpPlatform(server.url, clock);
  const replica = new Replica();
  const log = new VersionLog(platform);
  const nothing = new PlatformStore(clock);
  const snapshots = new Snapshots(hasSnapshots ? platform : nothing, log);
  const reader = new Reader(
    new LogFeed(log, snapshots, replica),
    replica,
    soleReader(clock),
    clock,
    new SeededRandom(1),
  );
  const stopping = new AbortController();
  const startedAt = clock.now();
  const running = reader.run(stopping.signal);
  while (!reader.caughtUp) await clock.sleepUntil(clock.now() + POLL_MS);
  const tookMs = clock.now() - startedAt;
  const calls = platform.meter.total;
  stopping.abort();
  await running;
  if (replica.current.number !== VERSIONS)
    throw new Error(`reader caught up at version ${replica.current.number}, expected ${VERSIONS}`);
  return { tookMs, calls };
}

async function measureStarts(server: PlatformServer, hasSnapshots: boolean): Promise<object> {
  const runs = [];
  for (let run = 0; run < STARTS; run++) runs.push(await startReader(server, hasSnapshots));
  const sorted = runs.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  const median = sorted[Math.floor(STARTS / 2)]!;
  return {
    runs: STARTS,
    medianMs: round(median),
    maxMs: round(sorted.at(-1)!),
    calls: runs[0]!.calls,
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

await using server = await PlatformServer.start(clock);
const calls = await submitNotes(server.store);
const withSnapshots = await measureStarts(server, true);
const withoutSnapshots = await measureStarts(server, false);
const result = {
  calls,
  start: { versions: VERSIONS, resources: RESOURCES, withSnapshots, withoutSnapshots },
  splits: compareSplits(),
};
await saveResult('acceptance', result);
console.log(JSON.stringify(result, undefined, 2));
