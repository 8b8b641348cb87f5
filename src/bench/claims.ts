/**
 * Measures how many claims per second the platform's write limit allows: one object per claim
 * against claims of a key range batched into one conditional write. Several processes share one
 * store in virtual time and run the production `Claims`. Writes `bench/results/claims.json`.
 */
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { type Outcome, OutcomeError } from '../contracts.js';
import { type Platform } from '../platform/platform.js';
import { type ClaimStore } from '../claims/claim_store.js';
import { Claims } from '../claims/claims.js';
import { type BatchOptions, RangeClaims } from '../claims/range_claims.js';
import { SingleClaims } from '../claims/single_claims.js';
import { TimerClock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { PlatformStore } from '../standins/platform_store.js';
import { saveResult } from './results.js';

const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2_000;
const LATENCY_MS = 4;
const EXECUTION_MS = 5;
const TIMEOUT_MS = 2_000;
const MEASURED_MS = 5_000;
const SETTLING_MS = 3_000;
const RANGES = 16;
const SEED = 7;
const OUTCOME: Outcome = {
  status: 201,
  headers: { 'content-type': 'application/json' },
  body: Buffer.from(JSON.stringify({ booking: 'b-000123', seats: 2, deposit: 'held' })).toString(
    'base64',
  ),
};

/** One way of storing claims. */
interface Strategy {
  readonly name: string;
  readonly batching?: BatchOptions;
  /** Whether all requests of a key range reach the same process. */
  readonly isRoutedByKey: boolean;
}

const STRATEGIES: readonly Strategy[] = [
  { name: 'single', isRoutedByKey: false },
  ...[5, 20].flatMap((windowMs) => [
    {
      name: `gathered, ${windowMs} ms`,
      batching: { ranges: RANGES, windowMs },
      isRoutedByKey: false,
    },
    {
      name: `gathered, ${windowMs} ms, routed by key`,
      batching: { ranges: RANGES, windowMs },
      isRoutedByKey: true,
    },
  ]),
];
const CLAIMS_PER_SECOND = [20, 65, 130, 250, 1_000];
const PROCESS_COUNTS = [2, 8, 64, 740];

/** Counts the bytes written to the platform. */
class CountingStore extends PlatformStore {
  bytes = 0;

  override create(key: string, value: string, deadline: number) {
    this.bytes += value.length;
    return super.create(key, value, deadline);
  }

  override update(key: string, value: string, revision: number, deadline: number) {
    this.bytes += value.length;
    return super.update(key, value, revision, deadline);
  }
}

class LoadRun {
  readonly #clock = new TimerClock();

  readonly #random = new SeededRandom(SEED);

  readonly #store = new CountingStore(this.#clock);

  readonly #processes: Claims[];

  readonly #addedMs: number[] = [];

  constructor(
    private readonly timers: FakeClock,
    private readonly way: Strategy,
    processes: number,
    private readonly rate: number,
  ) {
    this.#store.faults.slowMs = LATENCY_MS;
    this.#store.faults.writesPerSecond = WRITES_PER_SECOND;
    this.#store.faults.readsPerSecond = READS_PER_SECOND;
    this.#processes = Array.from(
      { length: processes },
      (_, index) => new Claims(this.#claimStore(), `process-${index}`, this.#clock, this.#random),
    );
  }

  async run() {
    const count = (this.rate * MEASURED_MS) / 1000;
    for (let request = 0; request < count; request++) void this.#handleRequest(request);
    await this.timers.tickAsync(MEASURED_MS + SETTLING_MS);
    this.#addedMs.sort((a, b) => a - b);
    const made = this.#addedMs.length;
    const { reads, writes } = this.#store.calls;
    return {
      way: this.way.name,
      processes: this.#processes.length,
      asked: count,
      madePerSecond: Math.round((made * 1000) / MEASURED_MS),
      addedMsP50: round(this.#addedMs[Math.floor(made * 0.5)] ?? NaN),
      addedMsP99: round(this.#addedMs[Math.floor(made * 0.99)] ?? NaN),
      writesPerClaim: round(writes / made),
      claimsPerWrite: round(made / writes),
      readsPerClaim: round(reads / made),
      bytesPerClaim: Math.round(this.#store.bytes / made),
    };
  }

  async #handleRequest(request: number): Promise<void> {
    await this.#clock.sleepUntil(this.#clock.now() + this.#random.jitter(MEASURED_MS));
    const key = `key-${request}`;
    // Requests are spread evenly; with `isRoutedByKey`, those of a range reach one process.
    const index = this.way.isRoutedByKey ? request % RANGES : request;
    const claims = this.#processes[index % this.#processes.length]!;
    const askedAt = this.#clock.now();
    const deadline = askedAt + TIMEOUT_MS;
    try {
      const admission = await claims.admit({ route: 'seats', key, fingerprint: key, deadline });
      if (admission.kind !== 'run')
        throw new Error(`new key ${key} was not admitted to run: ${admission.kind}`);
      this.#addedMs.push(this.#clock.now() - askedAt);
      admission.claim.start();
      await this.#clock.sleepUntil(this.#clock.now() + EXECUTION_MS);
      admission.claim.settle(OUTCOME);
    } catch (error) {
      if (!(error instanceof OutcomeError)) throw error;
      // The claim was not made in time; only successful claims are counted.
    }
  }

  #claimStore(): ClaimStore {
    const { batching, isRoutedByKey } = this.way;
    const platform: Platform = this.#store;
    if (!batching) return new SingleClaims(platform, this.#clock, this.#random);
    const store = new RangeClaims(platform, this.#clock, this.#random, batching);
    return isRoutedByKey ? new KeyRoutedRanges(store) : store;
  }
}

/** Assigns a request to the range of its process, as routing by key hash would. */
class KeyRoutedRanges implements ClaimStore {
  constructor(private readonly store: RangeClaims) {}

  acquire(...[id, claim, deadline]: Parameters<ClaimStore['acquire']>) {
    return this.store.acquire(withRoutedRange(id, claim.fingerprint), claim, deadline);
  }

  settle(...[id, claim, deadline]: Parameters<ClaimStore['settle']>) {
    return this.store.settle(withRoutedRange(id, claim.fingerprint), claim, deadline);
  }

  release(...[id, nonce, deadline]: Parameters<ClaimStore['release']>) {
    return this.store.release(id, nonce, deadline);
  }
}

/** Replaces the leading digits of the id, which select the range, with the range's number. */
function withRoutedRange(id: string, key: string): string {
  const range = Number(key.slice('key-'.length)) % RANGES;
  return range.toString(16).padStart(8, '0') + id.slice(8);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const runs = [];
for (const rate of CLAIMS_PER_SECOND) {
  for (const processes of PROCESS_COUNTS) {
    for (const way of STRATEGIES) {
      const timers = install({ now: 1_000_000 });
      const result = await new LoadRun(timers, way, processes, rate).run();
      timers.uninstall();
      runs.push({ claimsPerSecond: rate, ...result });
    }
  }
}
const platform = {
  writesPerSecond: WRITES_PER_SECOND,
  readsPerSecond: READS_PER_SECOND,
  latencyMs: LATENCY_MS,
};
await saveResult('claims', { platform, ranges: RANGES, measuredMs: MEASURED_MS, seed: SEED, runs });
console.table(runs);
