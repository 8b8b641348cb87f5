/** Finds the team of a key in the configuration in force. */
import { createHash } from 'node:crypto';
import { type Configuration } from '../configuration/configuration.js';
import { type Team } from '../contracts.js';

const INDEX = Symbol('teams by key digest');

/** Teams by the digests of their keys, built once for each configuration. */
export class TeamIndex {
  readonly #byDigest = new Map<string, Team>();

  /** Whether the configuration has teams, so that callers need keys. */
  readonly hasTeams: boolean;

  private constructor(teams: readonly Team[]) {
    this.hasTeams = teams.length > 0;
    for (const team of teams) {
      for (const digest of team.keyDigests) this.#byDigest.set(digest, team);
    }
  }

  static of(configuration: Configuration): TeamIndex {
    const known = configuration.derived.get(INDEX) as TeamIndex | undefined;
    if (known) return known;
    const index = new TeamIndex([...configuration.all('team')]);
    configuration.derived.set(INDEX, index);
    return index;
  }

  /** The team that holds the key. */
  teamOf(key: string): Team | undefined {
    return this.#byDigest.get(keyDigest(key));
  }
}

/** The digest by which a key is kept, in hexadecimal digits. */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
