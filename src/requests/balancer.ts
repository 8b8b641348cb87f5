/** Chooses among the endpoints of an upstream. */
import { type Member } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { type Random } from '../runtime/random.js';

/** What this process has seen of an endpoint itself. */
interface Experience {
  inFlight: number;
  /** Moving average of answered exchanges, in milliseconds. */
  latencyMs: number;
}

/** Weight of the newest exchange in the moving average. */
const NEWEST_WEIGHT = 0.2;
const FIRST_GUESS_MS = 1;

/**
 * Two random choices by in-flight work times latency, both as seen from here: what endpoints
 * report of their load lags or misleads. The own data centre goes first.
 */
export class Balancer {
  readonly #experiences = new Map<string, Experience>();

  #generation = -1;

  #byUpstream = new Map<string, Member[]>();

  constructor(
    private readonly roster: Roster,
    private readonly random: Random,
  ) {}

  /** An endpoint that takes work for `upstream`, other than those tried; undefined if none does. */
  choose(upstream: string, tried: ReadonlySet<string>): Member | undefined {
    const able = this.#able(upstream).filter((member) => !tried.has(member.instance));
    const { dataCentre } = this.roster.self;
    const near = able.filter((member) => member.dataCentre === dataCentre);
    const among = near.length > 0 ? near : able;
    if (among.length <= 1) return among[0];
    const first = this.random.below(among.length);
    const second = (first + 1 + this.random.below(among.length - 1)) % among.length;
    const [a, b] = [among[first]!, among[second]!];
    return this.#cost(a) <= this.#cost(b) ? a : b;
  }

  /** Notes that an exchange begins. */
  begin(instance: string): void {
    this.#experience(instance).inFlight += 1;
  }

  /** Notes its end, with the time it took if it was answered. */
  end(instance: string, tookMs?: number): void {
    const experience = this.#experience(instance);
    experience.inFlight -= 1;
    if (tookMs !== undefined) {
      experience.latencyMs += (tookMs - experience.latencyMs) * NEWEST_WEIGHT;
    }
  }

  #cost(member: Member): number {
    const { inFlight, latencyMs } = this.#experience(member.instance);
    return (inFlight + 1) * latencyMs;
  }

  #experience(instance: string): Experience {
    let experience = this.#experiences.get(instance);
    if (!experience) {
      experience = { inFlight: 0, latencyMs: FIRST_GUESS_MS };
      this.#experiences.set(instance, experience);
    }
    return experience;
  }

  #able(upstream: string): readonly Member[] {
    if (this.#generation !== this.roster.generation) this.#index();
    return this.#byUpstream.get(upstream) ?? [];
  }

  #index(): void {
    this.#generation = this.roster.generation;
    this.#byUpstream = new Map();
    for (const member of this.roster.live()) {
      if (member.endpoint?.state !== 'ready') continue;
      const group = this.#byUpstream.get(member.endpoint.upstream);
      if (group) group.push(member);
      else this.#byUpstream.set(member.endpoint.upstream, [member]);
    }
  }
}
