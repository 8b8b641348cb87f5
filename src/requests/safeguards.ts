/** Sets up at-most-once execution and quarantine for one process. */
import { type IncomingMessage } from 'node:http';
import { type Mesh } from '../distribution/mesh.js';
import { type Methods } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { keepRunning } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { BulletinBroadcaster } from '../quarantine/bulletin_broadcaster.js';
import { ClaimSweep } from '../claims/claim_sweep.js';
import { Claims } from '../claims/claims.js';
import { type Dialect } from './dialect.js';
import { type Entry } from './entry.js';
import { CrashDetector } from '../quarantine/crash_detector.js';
import { type Guard } from './guard.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { SingleClaims } from '../claims/single_claims.js';

/** The parts of the process that the safeguards use. */
export interface SafeguardDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly mesh: Mesh;
  readonly methods: Methods;
  readonly ranking: Ranking;
  readonly dialect: Dialect;
}

export class Safeguards implements AsyncDisposable {
  readonly claims: Claims;

  readonly sweep: ClaimSweep;

  readonly #broadcaster: BulletinBroadcaster;

  readonly #stopping = new AbortController();

  #sweeping: Promise<void> | undefined;

  constructor(
    instance: string,
    private readonly dependencies: SafeguardDependencies,
  ) {
    const { platform, clock, random, mesh, methods, ranking } = dependencies;
    const store = new SingleClaims(platform, clock, random);
    this.claims = new Claims(store, instance, clock, random);
    this.sweep = new ClaimSweep(platform, () => ranking.isLeader, clock);
    this.#broadcaster = new BulletinBroadcaster(mesh, methods, clock, random);
  }

  get quarantine(): Quarantine {
    return this.#broadcaster.quarantine;
  }

  /** Installs the safeguards in the entry and the guard; called before the first request. */
  install(entry: Entry, guard: Guard): void {
    const { quarantine } = this;
    entry.quarantine = quarantine;
    guard.claims = this.claims;
    const { clock, dialect } = this.dependencies;
    const callerOf = (request: Pick<IncomingMessage, 'headers'>) => dialect.callerOf(request);
    guard.crashDetector = new CrashDetector(quarantine, clock, callerOf);
    // Without idempotency keys there are no claims to sweep.
    if (!dialect.takesKeys) return;
    const run = (signal: AbortSignal) => this.sweep.run(signal);
    this.#sweeping = keepRunning('claim sweep', run, this.#stopping.signal, clock);
  }

  /** Tries a last time to write the outcomes of claims that are not stored yet, and ends the sweep. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.claims[Symbol.asyncDispose]();
    await this.#sweeping;
  }
}
