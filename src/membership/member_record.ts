/** Order and hash of member records. */
import { canonical } from '../configuration/digest.js';
import { type Liveness, type Member } from '../contracts.js';
import { fnv1a } from '../runtime/hash.js';

/** Of two records of the same incarnation and sequence, the one with higher precedence wins. */
const PRECEDENCE: Record<Liveness, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

const MURMUR_FIRST = 0x85ebca6b;
const MURMUR_SECOND = 0xc2b2ae35;

/** Whether the member is dead or has left, and so has no links and takes no work. */
export function isDeadOrLeft({ liveness }: Member): boolean {
  return liveness === 'dead' || liveness === 'left';
}

/**
 * Whether `record` overrides `held`. This is a total order, so merging keeps the greatest record
 * and gives the same result for any order, grouping or repetition of messages.
 *
 * `left` is compared before the sequence: otherwise a delayed or duplicated update would revive a
 * process that has stopped. Only a new incarnation does.
 */
export function isNewer(record: Member, held: Member): boolean {
  const order =
    record.incarnation - held.incarnation ||
    Number(record.liveness === 'left') - Number(held.liveness === 'left') ||
    record.sequence - held.sequence ||
    PRECEDENCE[record.liveness] - PRECEDENCE[held.liveness];
  if (order !== 0) return order > 0;
  // Most records received are already held, and canonical texts are expensive to build.
  if (hasSameContent(record, held)) return false;
  // An instance may have been started twice in the same millisecond. Comparing the texts gives the
  // same result everywhere, and the running process refutes a record that differs from its own.
  return canonical(record) > canonical(held);
}

function hasSameContent(one: Member, other: Member): boolean {
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
 * Hash of a record, a signed 32-bit number: FNV-1a over its fields, followed by the finalizer of
 * MurmurHash3, so that hashes of records that differ in one digit can be XORed. It is not
 * cryptographic: links connect only processes of this system.
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
