/** At most once and quarantine, as one process has them: put together and handed to its parts. */
import { type Mesh } from '../distribution/mesh.js';
import { type Methods } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Bulletins } from '../quarantine/bulletins.js';
import { ClaimSweep } from '../claims/claim_sweep.js';
import { Claims } from '../claims/claims.js';
import { type Entry } from './entry.js';
import { Flights } from '../quarantine/flights.js';
import { type Guard } from './guard.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { SingleClaims } from '../claims/single_claims.js';

/** The parts of the process that the safeguards stand on. */
export interface Grounds {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly mesh: Mesh;
  readonly methods: Methods;
  readonly ranking: Ranking;
  /** Whether callers may send keys; without them there are no claims to sweep. */
  readonly takesKeys: boolean;
}

export class Safeguards implements AsyncDisposable {
  readonly claims: Claims;

  readonly sweep: ClaimSweep;

  readonly #bulletins: Bulletins;

  readonly #stopping = new AbortController();

  #sweeping: Promise<void> | undefined;

  constructor(
    instance: string,
    private readonly grounds: Grounds,
  ) {
    const { platform, clock, random, mesh, methods, ranking } = grounds;
    const store = new SingleClaims(platform, clock, random);
    this.claims = new Claims(store, instance, clock, random);
    this.sweep = new ClaimSweep(platform, () => ranking.isFirst, clock);
    this.#bulletins = new Bulletins(mesh, methods, clock, random);
  }

  get quarantine(): Quarantine {
    return this.#bulletins.quarantine;
  }

  /** Puts the safeguards into force; called before the first request. */
  protect(entry: Entry, guard: Guard): void {
    const { quarantine } = this;
    entry.quarantine = quarantine;
    guard.claims = this.claims;
    guard.flights = new Flights(quarantine, this.grounds.clock);
    if (this.grounds.takesKeys) this.#sweeping = this.sweep.run(this.#stopping.signal);
  }

  /** Gives the ends of claims that are not written yet a last try. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.claims[Symbol.asyncDispose]();
    await this.#sweeping;
  }
}
