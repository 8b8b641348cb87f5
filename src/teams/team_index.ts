/** Finds the team of a key in the configuration in force. */
import { type Configuration } from '../configuration/configuration.js';
import { type Team } from '../contracts.js';
import { keyDigest } from './key_digest.js';

const INDEX = Symbol('teams by key digest');

/**
 * Teams by the digests of their keys. Built when a configuration changes teams; a version that
 * changes none uses the index of the version before.
 */
export class TeamIndex {
  readonly #byDigest = new Map<string, Team>();

  readonly #teams: ReadonlySet<Team>;

  private constructor(teams: readonly Team[]) {
    this.#teams = new Set(teams);
    for (const team of teams) {
      for (const digest of team.keyDigests) this.#byDigest.set(digest, team);
    }
  }

  static of(configuration: Configuration): TeamIndex {
    const known = configuration.derived.get(INDEX) as TeamIndex | undefined;
    if (known) return known;
    const earlier = configuration.latestDerived(INDEX) as TeamIndex | undefined;
    const teams = [...configuration.all('team')];
    const index = earlier && earlier.#isOf(teams) ? earlier : new TeamIndex(teams);
    configuration.derived.set(INDEX, index);
    return index;
  }

  /** Whether the configuration has teams, so that callers need keys. */
  get hasTeams(): boolean {
    return this.#teams.size > 0;
  }

  /** The team that holds the key. */
  teamOf(key: string): Team | undefined {
    return this.#byDigest.get(keyDigest(key));
  }

  #isOf(teams: readonly Team[]): boolean {
    return teams.length === this.#teams.size && teams.every((team) => this.#teams.has(team));
  }
}
