/** Renders the output of `status`: the latest versions, which processes hold them, and rollouts. */
import { type Rollout, type AcceptedVersion, type Status, type Survey } from '../contracts.js';
import { formatInstant } from './render_audit.js';
import { table } from './table.js';

const SECOND_MS = 1_000;
/** Units of an age, largest first, each with its length in seconds. */
const AGE_UNITS = [
  { name: 'd', seconds: 86_400 },
  { name: 'h', seconds: 3_600 },
  { name: 'min', seconds: 60 },
  { name: 's', seconds: 1 },
] as const;

const HEADINGS = [
  'VERSION',
  'NOTE',
  'ACTION',
  'AUTHOR',
  'ACCEPTED',
  'AGE',
  'HELD BY',
  'NOT HELD BY',
  'UNKNOWN',
];

export function renderStatus(status: Status): string {
  const { head, asOf, isLogRead, versions, survey, rollouts } = status;
  const lines = [`latest version known: ${head}, at ${formatInstant(asOf)}`];
  if (!isLogRead)
    lines.push('the platform could not be reached: later versions may have been accepted');
  const rows = versions.map((version) => rowOf(version, asOf, survey));
  if (rows.length > 0) lines.push(...table([HEADINGS, ...rows]));
  else lines.push('no versions');
  return [
    ...lines,
    ...laggardLines(survey),
    ...unknownLines(survey),
    ...rolloutLines(rollouts),
  ].join('\n');
}

/** A process that did not answer counts as unknown, never as holding the version. */
function rowOf(
  { number, note, action, author, acceptedAt }: AcceptedVersion,
  asOf: number,
  survey: Survey,
): string[] {
  const count = (holds: (version: number) => boolean) =>
    survey.holding
      .filter(({ version }) => holds(version))
      .reduce((sum, { processes }) => sum + processes, 0);
  return [
    `v${number}`,
    note,
    action ?? '-',
    author ?? '-',
    formatInstant(acceptedAt),
    formatAge(asOf - acceptedAt),
    String(count((version) => version >= number)),
    String(count((version) => version < number)),
    formatUnknown(survey),
  ];
}

function formatUnknown({ unknownProcesses, unreached }: Survey): string {
  if (unreached.length === 0) return String(unknownProcesses);
  const centres = unreached.length === 1 ? '1 data centre' : `${unreached.length} data centres`;
  return unknownProcesses === 0 ? centres : `${unknownProcesses} and ${centres}`;
}

function laggardLines({ laggards }: Survey): string[] {
  if (laggards.length === 0) return [];
  const rows = laggards.map(({ instance, dataCentre, version, reason }) => [
    `  ${instance}`,
    dataCentre,
    `holds v${version}`,
    reason,
  ]);
  return ['processes that lag behind:', ...table(rows)];
}

function unknownLines({ unknown, unknownProcesses, unreached }: Survey): string[] {
  const lines: string[] = [];
  const more = unknownProcesses - unknown.length;
  if (unknownProcesses > 0) {
    const rest = more > 0 ? ` and ${more} more` : '';
    lines.push(`unknown, processes that did not answer: ${unknown.join(' ')}${rest}`);
  }
  if (unreached.length > 0) {
    lines.push(`unknown, unreachable data centres: ${unreached.join(' ')}`);
  }
  return lines;
}

function rolloutLines(rollouts: readonly Rollout[]): string[] {
  if (rollouts.length === 0) return [];
  const rows = rollouts.map(({ upstream, version, phase, durationMs }) => [
    `  ${upstream}`,
    `to ${version}`,
    phase,
    `within ${Math.round(durationMs / SECOND_MS)} s`,
  ]);
  return ['rollouts:', ...table(rows)];
}

/** An age in milliseconds, rounded down in the largest unit that fits, such as `4 min`. */
function formatAge(ms: number): string {
  const seconds = Math.max(0, Math.floor(ms / SECOND_MS));
  const unit = AGE_UNITS.find((candidate) => seconds >= candidate.seconds) ?? AGE_UNITS[3];
  return `${Math.floor(seconds / unit.seconds)} ${unit.name}`;
}
