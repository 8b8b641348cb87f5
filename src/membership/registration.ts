/** What the platform holds about members: how to reach them, and nothing that changes often. */
import * as z from 'zod';
import { Member } from '../contracts.js';

export const Registration = Member.omit({ sequence: true, liveness: true, endpoint: true });
export type Registration = z.infer<typeof Registration>;

/** Value of a data centre's object. */
export const Registrations = z.strictObject({ members: z.array(Registration) });

/** Below the sequence of all that a member says itself. */
const REGISTERED_SEQUENCE = -1;

export function registrationOf(member: Member): Registration {
  const { instance, dataCentre, host, linkPort, guardPort, operatorsPort, incarnation } = member;
  return { instance, dataCentre, host, linkPort, guardPort, operatorsPort, incarnation };
}

/** The oldest statement about that incarnation: anything heard from others overrides it. */
export function statementOf(registration: Registration): Member {
  return { ...registration, sequence: REGISTERED_SEQUENCE, liveness: 'alive' };
}
