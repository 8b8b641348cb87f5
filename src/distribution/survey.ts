/** Adding up who holds which version. */
import { type Laggard, MAX_LAGGARDS, type Member, type Survey } from '../contracts.js';
import { type Replica } from './replica.js';

export function emptySurvey(): Survey {
  return { holding: [], laggards: [], unknown: [], unreached: [] };
}

/** What one process says of itself. */
export function surveyOf({ instance, dataCentre }: Member, replica: Replica): Survey {
  const version = replica.current.number;
  const { refusal } = replica;
  const laggards: Laggard[] = refusal
    ? [{ instance, dataCentre, version, reason: `refused ${refusal.number}: ${refusal.reason}` }]
    : [];
  return { ...emptySurvey(), holding: [{ version, processes: 1 }], laggards };
}

export function mergeSurveys(surveys: readonly Survey[]): Survey {
  const counts = new Map<number, number>();
  for (const { version, processes } of surveys.flatMap((survey) => survey.holding)) {
    counts.set(version, (counts.get(version) ?? 0) + processes);
  }
  const holding = [...counts].map(([version, processes]) => ({ version, processes }));
  return {
    holding: holding.sort((a, b) => b.version - a.version),
    laggards: surveys.flatMap((survey) => survey.laggards).slice(0, MAX_LAGGARDS),
    unknown: surveys.flatMap((survey) => survey.unknown),
    unreached: surveys.flatMap((survey) => survey.unreached),
  };
}
