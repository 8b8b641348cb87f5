/** What processes cost while nothing changes. */
import { type Deployment } from './deployment.js';
import { type Usage } from './processes.js';

export interface Idle {
  /** Sent and received bytes per process. */
  readonly bytesPerSecond: number;
  /** Of one core, per process. */
  readonly cpuPercent: number;
  readonly rssMb: number;
}

const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1024 * 1024;

/** Measures for `forMs` milliseconds, from what the kernel counts. */
export async function idleOf(deployment: Deployment, forMs: number): Promise<Idle> {
  const { clock } = deployment;
  const before = await deployment.usage();
  const startedAt = clock.now();
  await clock.sleepUntil(startedAt + forMs);
  const after = await deployment.usage();
  const seconds = (clock.now() - startedAt) / MS_PER_SECOND;
  const grown = (value: (usage: Usage) => number) =>
    (total(after, value) - total(before, value)) / seconds / after.length;
  const cpuMsPerSecond = grown(({ cpuMs }) => cpuMs);
  return {
    bytesPerSecond: grown(({ readBytes, writtenBytes }) => readBytes + writtenBytes),
    cpuPercent: (cpuMsPerSecond / MS_PER_SECOND) * 100,
    rssMb: total(after, ({ rssBytes }) => rssBytes) / after.length / BYTES_PER_MB,
  };
}

function total(usages: readonly Usage[], value: (usage: Usage) => number): number {
  return usages.reduce((sum, usage) => sum + value(usage), 0);
}
