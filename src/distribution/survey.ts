/** Adding up who holds which version. */
import { type Laggard, MAX_NAMED, type Member, type Survey } from '../contracts.js';
import { type Replica } from './replica.js';

function emptySurvey(): Survey {
  return { holding: [], laggards: [], unknownProcesses: 0, unknown: [], unreached: [] };
}

/** What one process says of itself, asked by one that knows of version `head`. */
export function surveyOf({ instance, dataCentre }: Member, replica: Replica, head: number): Survey {
  const version = replica.current.number;
  const reason = reasonOf(replica, head);
  const laggards: Laggard[] = reason ? [{ instance, dataCentre, version, reason }] : [];
  return { ...emptySurvey(), holding: [{ version, processes: 1 }], laggards };
}

/** Members of whom nothing is known. */
export function unknownSurvey(members: readonly Member[]): Survey {
  const unknown = members.slice(0, MAX_NAMED).map(({ instance }) => instance);
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
    laggards: surveys.flatMap((survey) => survey.laggards).slice(0, MAX_NAMED),
    unknownProcesses: surveys.reduce((sum, survey) => sum + survey.unknownProcesses, 0),
    unknown: surveys.flatMap((survey) => survey.unknown).slice(0, MAX_NAMED),
    unreached: surveys.flatMap((survey) => survey.unreached),
  };
}

/** Why the process does not hold the head, or does not hold what it was offered. */
function reasonOf({ current, refusal }: Replica, head: number): string | undefined {
  if (refusal) {
    const [problem] = refusal.problems;
    const detail = problem ? ` (${problem.path}: ${problem.message})` : '';
    return `refused ${refusal.number}: ${refusal.reason}${detail}`;
  }
  return current.number < head ? `behind ${head}` : undefined;
}
