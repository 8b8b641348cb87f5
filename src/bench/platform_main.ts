/** Runs the platform stand-in as a process. */
import { MachineClock } from '../runtime/clock.js';
import { PlatformServer } from '../standins/platform_server.js';

/** Latency and rate limits of the platform that the stand-in emulates. */
const LATENCY_MS = 2;
const READS_PER_SECOND = 2_000;
const WRITES_PER_SECOND = 300;

const platform = await PlatformServer.start(new MachineClock());
Object.assign(platform.store.faults, {
  slowMs: LATENCY_MS,
  readsPerSecond: READS_PER_SECOND,
  writesPerSecond: WRITES_PER_SECOND,
});
console.log(JSON.stringify({ port: Number(platform.url.port) }));
