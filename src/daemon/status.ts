/** Puts together what the log says and what the fleet says. */
import { OutcomeError, type Standing, type Status } from '../contracts.js';
import { type Operated } from './operator_methods.js';

/** Versions that are shown. */
const SHOWN = 10;
const LOG_TIMEOUT_MS = 2_000;

/** The latest versions, or those of one note, and how far the fleet has come with them. */
export async function statusOf(instance: Operated, note?: string): Promise<Status> {
  const { surroundings, surveyor, replica } = instance;
  const { clock } = surroundings;
  const deadline = clock.now() + LOG_TIMEOUT_MS;
  const [logged, survey] = await Promise.all([
    readLog(instance, note, deadline),
    surveyor.survey(),
  ]);
  const versions = logged ?? heldHere(instance, note);
  // Another process may be ahead of both the answer of the log and this one.
  const furthest = Math.max(0, ...survey.holding.map(({ version }) => version));
  const latest = versions[0]?.number ?? 0;
  const head = Math.max(latest, furthest, replica.current.number);
  const rollouts = instance.rollouts?.orders.all() ?? [];
  return { asOf: clock.now(), head, isLogRead: logged !== undefined, versions, survey, rollouts };
}

async function readLog(
  { source, replica }: Operated,
  note: string | undefined,
  deadline: number,
): Promise<Standing[] | undefined> {
  try {
    const records = note
      ? await source.versionsOf(note, SHOWN, deadline)
      : await source.recent(Math.max(0, replica.current.number - SHOWN), SHOWN, deadline);
    return records.reverse().map(({ version, action, author }) => {
      const { number, acceptedAt } = version;
      return { number, note: version.note, acceptedAt, action, author };
    });
  } catch (error) {
    if (error instanceof OutcomeError) return undefined;
    throw error;
  }
}

function heldHere({ replica }: Operated, note: string | undefined): Standing[] {
  const recent = replica.since(Math.max(0, replica.current.number - SHOWN)) ?? [];
  return recent
    .filter((version) => note === undefined || version.note === note)
    .map(({ number, note: id, acceptedAt }) => ({ number, note: id, acceptedAt }))
    .reverse();
}
