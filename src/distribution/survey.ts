/** Builds and merges surveys of which processes hold which version. */
import { type Laggard, MAX_SURVEY_ENTRIES, type Member, type Survey } from '../contracts.js';
import { type Replica } from './replica.js';

function emptySurvey(): Survey {
  return { holding: [], laggards: [], unknownProcesses: 0, unknown: [], unreached: [] };
}

/** The survey of a single process. `head` is the highest version known where the survey began. */
export function surveyProcess(
  { instance, dataCentre }: Member,
  replica: Replica,
  head: number,
): Survey {
  const version = replica.current.number;
  const reason = lagReason(replica, head);
  const laggards: Laggard[] = reason ? [{ instance, dataCentre, version, reason }] : [];
  return { ...emptySurvey(), holding: [{ version, processes: 1 }], laggards };
}

/** The survey of members that did not answer. */
export function unknownSurvey(members: readonly Member[]): Survey {
  const unknown = members.slice(0, MAX_SURVEY_ENTRIES).map(({ instance }) => instance);
  return { ...emptySurvey(), unknownProcesses: members.length, unknown };
}

export function mergeSurveys(surveys: readonly Survey[]): Survey {
  const counts = new Map<number, number>();
  for (const { version, processes } of surveys.flatMap((survey) => survey.holding)) {
    counts.set(version, (counts.get(version) ?? 0) + processes);
  }
  const holding = [...counts].map(([version, processes]) => ({ version, processes }));
  return {
    holding: holding.sort((a, b) => b.version - a.version),
    laggards: surveys.flatMap((survey) => survey.laggards).slice(0, MAX_SURVEY_ENTRIES),
    unknownProcesses: surveys.reduce((sum, survey) => sum + survey.unknownProcesses, 0),
    unknown: surveys.flatMap((survey) => survey.unknown).slice(0, MAX_SURVEY_ENTRIES),
    unreached: surveys.flatMap((survey) => survey.unreached),
  };
}

/** Why the process is behind the head, or has refused a version; undefined if neither. */
function lagReason({ current, refusal }: Replica, head: number): string | undefined {
  if (refusal) {
    const [problem] = refusal.problems;
    const detail = problem ? ` (${problem.path}: ${problem.message})` : '';
    return `refused ${refusal.number}: ${refusal.reason}${detail}`;
  }
  return current.number < head ? `behind ${head}` : undefined;
}
