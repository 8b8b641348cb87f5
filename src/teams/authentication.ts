/** Decides as which team a request is served. */
import { type IncomingMessage } from 'node:http';
import { notRun, type Route, type Team } from '../contracts.js';
import { tokenOf } from './credentials.js';
import { type TeamIndex } from './team_index.js';

/**
 * The team whose key the caller sends; undefined without teams in the configuration, and for callers
 * without a known key on a public route. Throws `unauthorized` if the route needs a key.
 */
export function authenticate(
  index: TeamIndex,
  route: Route,
  request: IncomingMessage,
): Team | undefined {
  if (!index.hasTeams) return undefined;
  const key = tokenOf(request);
  const team = key === undefined ? undefined : index.teamOf(key);
  if (team || route.public) return team;
  throw notRun('unauthorized', `route ${route.name} needs the key of a team`);
}
