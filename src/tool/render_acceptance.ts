/** Text for how the handing in, or the check, of a note ended. */
import { type Problem } from '../contracts.js';
import { type Acceptance, type Check } from '../source/acceptance.js';
import { printable } from './table.js';

export function renderAcceptance(acceptance: Acceptance): string {
  switch (acceptance.outcome) {
    case 'accepted':
      return renderAccepted(acceptance);
    case 'refused':
      return ['refused:', ...acceptance.problems.map(renderProblem), ...gap(acceptance)].join('\n');
    default: {
      const rival = acceptance.note === '' ? 'another note' : `note ${acceptance.note}`;
      const lines = acceptance.resources.map((resource) => `  ${resource}`);
      const title = `conflict: ${rival} touched the same resources`;
      return [title, ...lines, ...gap(acceptance)].join('\n');
    }
  }
}

/** Like `renderAcceptance`, for a note that was not handed in. */
export function renderCheck(result: Check | { readonly outcome: 'valid' }): string {
  if (result.outcome !== 'valid') return renderAcceptance(result);
  if (!('head' in result)) return 'valid by itself; give --to to check it against the head';
  const lines = result.resources.map((resource) => `  ${resource}`);
  return [`valid on top of version ${result.head}; it would touch`, ...lines].join('\n');
}

/** Says so where the audit trail does not hold the refusal. */
function gap({ audited }: { readonly audited?: boolean }): string[] {
  return audited === false ? ['not audited: the platform did not take the entry'] : [];
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
  const before = repeated ? ' before' : '';
  const since = supersededBy === undefined ? '' : `; version ${supersededBy} has replaced it`;
  return `accepted${before}: ${note} is version ${number}${since}`;
}
