/** Checks the keys of teams: each identifies one team, and is listed there once. */
import { type Problem, type Team } from '../contracts.js';
import { type Configuration } from './configuration.js';

/** Digits of a digest shown in messages: enough to find it, too few to be of use to others. */
const SHOWN_DIGITS = 8;

/** The problems of all teams, in one pass over their keys. */
export function teamProblems(configuration: Configuration): Problem[] {
  const problems: Problem[] = [];
  const holders = new Map<string, Team>();
  for (const team of configuration.all('team')) {
    for (const digest of team.keyDigests) {
      const holder = holders.get(digest);
      if (holder) problems.push(sharedKeyProblem(team, holder, digest));
      else holders.set(digest, team);
    }
  }
  return problems;
}

function sharedKeyProblem(team: Team, holder: Team, digest: string): Problem {
  const shown = `the key with digest ${digest.slice(0, SHOWN_DIGITS)}…`;
  const message =
    team === holder
      ? `team ${team.name} lists ${shown} more than once`
      : `teams ${holder.name} and ${team.name} both list ${shown}`;
  return { path: `team/${team.name}.keyDigests`, message };
}
