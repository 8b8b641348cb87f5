/** Keys that several teams of the operator's object list. */
import { type Team } from '../contracts.js';

/**
 * The teams in the same order, where each key is left with the first team by name that lists it. All
 * processes choose the same team, so a request with the key is served alike everywhere.
 */
export function withoutSharedKeys(teams: readonly Team[]): readonly Team[] {
  const holders = new Map<string, Team>();
  const byName = [...teams].sort((a, b) => (a.name < b.name ? -1 : 1));
  for (const team of byName) {
    for (const digest of team.keyDigests) if (!holders.has(digest)) holders.set(digest, team);
  }
  return teams.map((team) => {
    const keyDigests = team.keyDigests.filter((digest) => holders.get(digest) === team);
    return keyDigests.length === team.keyDigests.length ? team : { ...team, keyDigests };
  });
}
