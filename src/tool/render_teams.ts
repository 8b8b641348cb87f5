/** Renders the output of `teams`: each team with its quota and the use of one process. */
import { type TeamStatus } from '../contracts.js';
import { table } from './table.js';

const HEADINGS = [
  ...['TEAM', 'KEYS', 'PRIORITY', 'RATE/S', 'BURST'],
  ...['ADMITTED', 'REFUSED', 'DEMAND/S', 'TOKENS', 'OFFLINE/S', 'SHARE', 'IN CONTACT'],
];
const NONE = '-';
const PERCENT = 100;

export function renderTeams(teams: readonly TeamStatus[]): string {
  if (teams.length === 0) return 'no teams in the configuration: callers need no keys';
  return table([HEADINGS, ...teams.map(rowOf)]).join('\n');
}

function rowOf({ name, keys, priority, requestsPerSecond, burst, usage }: TeamStatus): string[] {
  return [
    name,
    ...[keys, priority, requestsPerSecond, burst, usage?.admitted, usage?.refused].map(numberText),
    ...[usage?.demandPerS, usage?.tokens, usage?.offlinePerS].map(numberText),
    shareText(usage?.offlinePerS, requestsPerSecond),
    usage ? contactText(usage.isInContact) : NONE,
  ];
}

/** The part of the quota that the process may use while it is out of contact, in percent. */
function shareText(offlinePerS: number | undefined, requestsPerSecond: number | undefined): string {
  if (offlinePerS === undefined || !requestsPerSecond) return NONE;
  return `${numberText((offlinePerS / requestsPerSecond) * PERCENT)}%`;
}

function contactText(isInContact: boolean): string {
  return isInContact ? 'yes' : 'no';
}

function numberText(value: number | undefined): string {
  if (value === undefined) return NONE;
  return Number.isInteger(value) ? String(value) : value.toFixed(1);
}
