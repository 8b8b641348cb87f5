/**
 * Prints what sharing quotas costs 60 processes with 73 teams of very different size:
 * `node --import tsx src/test/quota/figures.ts`.
 */
import { encode } from '@msgpack/msgpack';
import { type Team } from '../../contracts.js';
import { QuotaFleet, teamOf } from './quota_fleet.js';

const TEAMS = Number(process.env.QUOTA_TEAMS ?? 73);
const LARGE_RATES = [441, 300, 200, 100];
const SMALL_RATES = [3, 6, 12, 16, 24];
const SETTLE_MS = 15_000;
const MEASURED_MS = 20_000;
/** Length of a JSON-RPC request and of its response around their content, and of the frames. */
const ENVELOPE_BYTES = 50;
const FRAME_BYTES = 4;
const TAKES = 200_000;

function teams(): Team[] {
  return Array.from({ length: TEAMS }, (_, index) => {
    const rate = LARGE_RATES[index] ?? SMALL_RATES[index % SMALL_RATES.length]!;
    return teamOf(`team-${index}`, rate, rate);
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function measure(load: number): Promise<void> {
  const fleet = new QuotaFleet({ seed: 1, teams: teams() });
  let bytes = 0;
  fleet.loads = teams().map(({ name, requestsPerSecond }) => ({
    team: name,
    perS: requestsPerSecond! * load,
    skew: 1,
  }));
  await fleet.advance(SETTLE_MS);
  const before = fleet.messages;
  fleet.onMessage = (message) => {
    bytes += encode(message).length + ENVELOPE_BYTES + FRAME_BYTES;
  };
  await fleet.advance(MEASURED_MS);
  fleet.stop();
  const perProcess = (value: number) =>
    (value / fleet.names.length / (MEASURED_MS / 1_000)).toFixed(1);
  const quota = teams().reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond!, 0);
  const passed = teams().reduce(
    (sum, { name }) => sum + fleet.rate(name, SETTLE_MS, SETTLE_MS + MEASURED_MS),
    0,
  );
  const refused = teams().reduce(
    (sum, { name }) => sum + fleet.refusedBetween(name, SETTLE_MS, SETTLE_MS + MEASURED_MS),
    0,
  );
  const refusedPart = refused / (refused + passed * (MEASURED_MS / 1_000));
  print(
    `load ${load}: passed ${(passed / quota).toFixed(3)} of the quota, refused ${(100 * refusedPart).toFixed(1)} %, ` +
      `reports ${perProcess((fleet.messages - before) / 2)} /s, bytes sent ${perProcess(bytes)} /s a process`,
  );
}

/** Time of `take` for requests that pass, and for requests that are refused. */
async function measureTake(): Promise<void> {
  const sizes = { arima: 1 };
  const fleet = new QuotaFleet({ seed: 1, teams: [teamOf('passes', 1_000_000, 1_000_000)], sizes });
  await fleet.advance(5_000);
  const { quota } = fleet.processes.get('arima-0')!;
  const start = performance.now();
  for (let count = 0; count < TAKES; count++) void quota.take(teamOf('passes', 1));
  const us = ((performance.now() - start) * 1_000) / TAKES;
  print(`take: ${us.toFixed(2)} us a request that passes`);
  const refusing = new QuotaFleet({ seed: 1, teams: [teamOf('refused', 1)], sizes });
  await refusing.advance(5_000);
  const other = refusing.processes.get('arima-0')!.quota;
  let refused = 0;
  const refusedStart = performance.now();
  for (let count = 0; count < TAKES / 10; count++) {
    try {
      void other.take(teamOf('refused', 1));
    } catch {
      refused += 1;
    }
  }
  const refusedUs = ((performance.now() - refusedStart) * 1_000) / refused;
  print(`take: ${refusedUs.toFixed(2)} us a request that is refused`);
  fleet.stop();
  refusing.stop();
}

for (const load of (process.env.QUOTA_LOADS ?? '0.5 0.9 2').split(' ').map(Number))
  await measure(load);
await measureTake();
