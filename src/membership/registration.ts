/** Members as registered on the platform: their addresses, and nothing that changes often. */
import * as z from 'zod';
import { Member } from '../contracts.js';

export const Registration = Member.omit({ sequence: true, liveness: true, endpoint: true });
export type Registration = z.infer<typeof Registration>;

/** Value of the object of a data centre. */
export const Registrations = z.strictObject({ members: z.array(Registration) });

/** Below every sequence that a member assigns itself. */
const REGISTERED_SEQUENCE = -1;

export function registrationOf(member: Member): Registration {
  const { instance, dataCentre, host, linkPort, guardPort, operatorsPort, incarnation } = member;
  return { instance, dataCentre, host, linkPort, guardPort, operatorsPort, incarnation };
}

/** The oldest record of that incarnation, which any record received from a process overrides. */
export function recordOf(registration: Registration): Member {
  return { ...registration, sequence: REGISTERED_SEQUENCE, liveness: 'alive' };
}
