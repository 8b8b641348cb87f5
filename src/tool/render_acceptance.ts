/** Renders the result of a submitted, amended, withdrawn or checked note. */
import { type Problem } from '../contracts.js';
import { type Acceptance, type Check } from '../source/acceptance.js';
import { printable } from './table.js';

export function renderAcceptance(acceptance: Acceptance): string {
  switch (acceptance.outcome) {
    case 'accepted':
      return renderAccepted(acceptance);
    case 'refused':
      return [
        'refused:',
        ...acceptance.problems.map(renderProblem),
        ...auditGapLines(acceptance),
      ].join('\n');
    default: {
      const rival = acceptance.note === '' ? 'another note' : `note ${acceptance.note}`;
      const lines = acceptance.resources.map((resource) => `  ${resource}`);
      const title = `conflict: ${rival} touched the same resources`;
      return [title, ...lines, ...auditGapLines(acceptance)].join('\n');
    }
  }
}

/** Like `renderAcceptance`, for a note that was only checked. */
export function renderCheck(result: Check | { readonly outcome: 'valid' }): string {
  if (result.outcome !== 'valid') return renderAcceptance(result);
  if (!('head' in result)) return 'valid; use --to to check it against the latest version as well';
  const lines = result.resources.map((resource) => `  ${resource}`);
  return [`valid on top of version ${result.head}; it would touch`, ...lines].join('\n');
}

/** A warning if the refusal is not in the audit trail. */
function auditGapLines({ audited }: { readonly audited?: boolean }): string[] {
  return audited === false ? ['not audited: the platform did not store the audit entry'] : [];
}

export function renderProblem({ path, message }: Problem): string {
  return `  ${printable(`${path}: ${message}`)}`;
}

function renderAccepted({
  record,
  repeated,
  supersededBy,
}: Extract<Acceptance, { outcome: 'accepted' }>): string {
  const { number, note } = record.version;
  const before = repeated ? ' earlier' : '';
  const since = supersededBy === undefined ? '' : `; version ${supersededBy} has superseded it`;
  return `accepted${before}: ${note} is version ${number}${since}`;
}
