/** Renders the output of `fleet`: the known processes, by data centre and name. */
import { type Member } from '../contracts.js';
import { table } from './table.js';

const HEADINGS = ['INSTANCE', 'DATA CENTRE', 'LIVENESS', 'UPSTREAM', 'STATE', 'SLOTS', 'OPERATORS'];

export function renderFleet(members: readonly Member[]): string {
  const rows = members.map(({ instance, dataCentre, liveness, endpoint, host, operatorsPort }) => [
    instance,
    dataCentre,
    liveness,
    endpoint?.upstream ?? '-',
    endpoint?.state ?? '-',
    endpoint ? String(endpoint.slots) : '-',
    `${host}:${operatorsPort}`,
  ]);
  const ordered = rows.sort((a, b) => `${a[1]}/${a[0]}`.localeCompare(`${b[1]}/${b[0]}`, 'en'));
  return table([HEADINGS, ...ordered]).join('\n');
}
