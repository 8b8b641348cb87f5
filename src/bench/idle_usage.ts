/** Resource usage of processes while nothing changes. */
import { type Deployment } from './deployment.js';
import { type Usage } from './processes.js';

export interface IdleUsage {
  /** Bytes sent and received per process. */
  readonly bytesPerSecond: number;
  /** Share of one core used per process. */
  readonly cpuPercent: number;
  readonly rssMb: number;
}

const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1024 * 1024;

/** Measures for `durationMs` milliseconds, using the kernel's counters. */
export async function measureIdle(deployment: Deployment, durationMs: number): Promise<IdleUsage> {
  const { clock } = deployment;
  const before = await deployment.usage();
  const startedAt = clock.now();
  await clock.sleepUntil(startedAt + durationMs);
  const after = await deployment.usage();
  const seconds = (clock.now() - startedAt) / MS_PER_SECOND;
  const ratePerProcess = (value: (usage: Usage) => number) =>
    (total(after, value) - total(before, value)) / seconds / after.length;
  const cpuMsPerSecond = ratePerProcess(({ cpuMs }) => cpuMs);
  return {
    bytesPerSecond: ratePerProcess(({ readBytes, writtenBytes }) => readBytes + writtenBytes),
    cpuPercent: (cpuMsPerSecond / MS_PER_SECOND) * 100,
    rssMb: total(after, ({ rssBytes }) => rssBytes) / after.length / BYTES_PER_MB,
  };
}

function total(usages: readonly Usage[], value: (usage: Usage) => number): number {
  return usages.reduce((sum, usage) => sum + value(usage), 0);
}
