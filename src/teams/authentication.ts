/** Decides as which team a request is served. */
import { type IncomingMessage } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { notRun, type Route, type Team } from '../contracts.js';
import { type Dialect } from '../requests/dialect.js';
import { TeamIndex } from './team_index.js';

/**
 * The team whose key the caller sends; undefined without teams in the configuration, and for callers
 * without a known key on a public route. Throws `unauthorized` if the route needs a key.
 */
export function authenticate(
  configuration: Configuration,
  route: Route,
  request: IncomingMessage,
  dialect: Dialect,
): Team | undefined {
  const index = TeamIndex.of(configuration);
  if (!index.hasTeams) return undefined;
  const key = dialect.keyOf(request);
  const team = key === undefined ? undefined : index.teamOf(key);
  if (team || route.public) return team;
  throw notRun('unauthorized', `route ${route.name} needs the key of a team`);
}
