/** Which of two statements about a member holds. */
import { canonical } from '../configuration/digest.js';
import { type Liveness, type Member } from '../contracts.js';
import { fnv1a } from '../runtime/hash.js';

/** How strongly a statement about liveness overrides another of the same age. */
const PRECEDENCE: Record<Liveness, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

const MURMUR_FIRST = 0x85ebca6b;
const MURMUR_SECOND = 0xc2b2ae35;

/** Whether the member holds no links and takes no work any more. */
export function isGone({ liveness }: Member): boolean {
  return liveness === 'dead' || liveness === 'left';
}

/**
 * Whether `statement` overrides `held`. This is a total order, so merging takes the greatest
 * statement and gives the same result for any order, grouping or repetition of messages.
 *
 * `left` goes before the sequence: a delta that is late, or was doubled, would otherwise bring back
 * a process that has stopped. Only a new incarnation revives it.
 */
export function isNewer(statement: Member, held: Member): boolean {
  const order =
    statement.incarnation - held.incarnation ||
    Number(statement.liveness === 'left') - Number(held.liveness === 'left') ||
    statement.sequence - held.sequence ||
    PRECEDENCE[statement.liveness] - PRECEDENCE[held.liveness];
  if (order !== 0) return order > 0;
  // Most of what arrives is known already, and canonical texts are costly.
  if (isSame(statement, held)) return false;
  // Two lives of an instance may have started in the same millisecond. The text decides alike
  // everywhere; the living one sees that it differs and takes a higher incarnation.
  return canonical(statement) > canonical(held);
}

function isSame(one: Member, other: Member): boolean {
  return (
    one.host === other.host &&
    one.linkPort === other.linkPort &&
    one.guardPort === other.guardPort &&
    one.operatorsPort === other.operatorsPort &&
    one.dataCentre === other.dataCentre &&
    one.endpoint?.state === other.endpoint?.state &&
    one.endpoint?.slots === other.endpoint?.slots &&
    one.endpoint?.upstream === other.endpoint?.upstream &&
    one.endpoint?.version === other.endpoint?.version
  );
}

/**
 * Short hash of a statement, a signed 32-bit number: FNV-1a over its fields, with the last steps of
 * MurmurHash3, so that hashes of statements that differ by a digit can be XORed. It guards against
 * chance, not against forgers: each link is one of the system's own.
 */
export function hashOf(member: Member): number {
  const { endpoint } = member;
  const version = endpoint?.version === undefined ? '' : ` ${endpoint.version}`;
  const text =
    `${member.instance} ${member.dataCentre} ${member.host} ${member.linkPort} ` +
    `${member.guardPort} ${member.operatorsPort} ${member.incarnation} ${member.sequence} ` +
    `${member.liveness} ${endpoint?.upstream} ${endpoint?.state} ${endpoint?.slots}${version}`;
  let hash = fnv1a(text);
  hash = Math.imul(hash ^ (hash >>> 16), MURMUR_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_SECOND);
  return hash ^ (hash >>> 16);
}
