/** Lists the teams of the configuration with their use of this process. */
import { type Team, type TeamStatus } from '../contracts.js';
import { type Replica } from '../distribution/replica.js';
import { type Quota, type TeamUsage } from '../quota/quota.js';

/** The teams of the configuration in force, by name. */
export function teamsOf(
  { current }: Pick<Replica, 'current'>,
  quota: Pick<Quota, 'usage'>,
): TeamStatus[] {
  const usageByTeam = new Map(quota.usage.map((usage) => [usage.team, usage]));
  return [...current.all('team')]
    .map((team) => statusOf(team, usageByTeam.get(team.name)))
    .sort((one, other) => one.name.localeCompare(other.name, 'en'));
}

function statusOf(
  { name, keyDigests, priority, requestsPerSecond, burst }: Team,
  usage: TeamUsage | undefined,
): TeamStatus {
  return {
    name,
    keys: keyDigests.length,
    ...(priority !== undefined && { priority }),
    ...(requestsPerSecond && { requestsPerSecond, burst: burst ?? 0 }),
    ...(usage && { usage: usageOf(usage) }),
  };
}

function usageOf({ team, ...usage }: TeamUsage): TeamStatus['usage'] {
  return usage;
}
