/** Status report: versions from the log, combined with a survey of the fleet. */
import { OutcomeError, type AcceptedVersion, type Status } from '../contracts.js';
import { type OperatedParts } from './operator_methods.js';

/** Number of versions in a report. */
const MAX_VERSIONS = 10;
const LOG_TIMEOUT_MS = 2_000;

/**
 * Reports the latest versions, or those of one release note, and which versions the processes of
 * the fleet hold. If the log cannot be read, the versions are those that this process holds.
 */
export async function statusOf(parts: OperatedParts, note?: string): Promise<Status> {
  const { clock, surveyor, replica } = parts;
  const deadline = clock.now() + LOG_TIMEOUT_MS;
  const [logged, survey] = await Promise.all([readLog(parts, note, deadline), surveyor.survey()]);
  const versions = logged ?? heldVersions(parts, note);
  // Another process may hold a later version than both the log as read and this process.
  const highestHeld = Math.max(0, ...survey.holding.map(({ version }) => version));
  const latest = versions[0]?.number ?? 0;
  const head = Math.max(latest, highestHeld, replica.current.number);
  const rollouts = parts.orders?.all() ?? [];
  return { asOf: clock.now(), head, isLogRead: logged !== undefined, versions, survey, rollouts };
}

async function readLog(
  { source, replica }: OperatedParts,
  note: string | undefined,
  deadline: number,
): Promise<AcceptedVersion[] | undefined> {
  try {
    const records = note
      ? await source.versionsOf(note, MAX_VERSIONS, deadline)
      : await source.recent(
          Math.max(0, replica.current.number - MAX_VERSIONS),
          MAX_VERSIONS,
          deadline,
        );
    return records.reverse().map(({ version, action, author }) => {
      const { number, acceptedAt } = version;
      return { number, note: version.note, acceptedAt, action, author };
    });
  } catch (error) {
    if (error instanceof OutcomeError) return undefined;
    throw error;
  }
}

function heldVersions({ replica }: OperatedParts, note: string | undefined): AcceptedVersion[] {
  const recent = replica.since(Math.max(0, replica.current.number - MAX_VERSIONS)) ?? [];
  return recent
    .filter((version) => note === undefined || version.note === note)
    .map(({ number, note: id, acceptedAt }) => ({ number, note: id, acceptedAt }))
    .reverse();
}
