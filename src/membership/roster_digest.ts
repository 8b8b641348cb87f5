/** Incremental hashes over the records of a roster. */
import { createHash } from 'node:crypto';
import { type Member } from '../contracts.js';
import { hashOf, isDeadOrLeft } from './member_record.js';

/** Number of buckets into which rosters are divided for comparison. */
export const ROSTER_BUCKETS = 64;

/**
 * Dead and departed members are left out of the buckets and the total: processes remove them at
 * different times, and rosters that differ in nothing else must compare as equal.
 */
export class RosterDigest {
  readonly #hashes = new Map<string, number>();

  readonly #bucketOf = new Map<string, number>();

  /** Hash of each bucket, independent of the order in which records arrived. */
  readonly buckets: number[] = Array.from({ length: ROSTER_BUCKETS }, () => 0);

  #total = 0;

  /** Hash of the whole roster, in base 36. */
  get total(): string {
    return (this.#total >>> 0).toString(36);
  }

  /** Hash of the record held about an instance, dead or not. */
  hashOf(instance: string): number | undefined {
    return this.#hashes.get(instance);
  }

  bucketOf(instance: string): number {
    return this.#bucketOf.get(instance) ?? bucketOf(instance);
  }

  replace(before: Member | undefined, after: Member): void {
    const bucket = this.bucketOf(after.instance);
    if (before) this.remove(before);
    const hash = hashOf(after);
    this.#hashes.set(after.instance, hash);
    this.#bucketOf.set(after.instance, bucket);
    if (!isDeadOrLeft(after)) this.#toggle(after.instance, hash);
  }

  remove(member: Member): void {
    const hash = this.#hashes.get(member.instance) ?? 0;
    if (!isDeadOrLeft(member)) this.#toggle(member.instance, hash);
    this.#hashes.delete(member.instance);
    this.#bucketOf.delete(member.instance);
  }

  #toggle(instance: string, hash: number): void {
    const bucket = this.bucketOf(instance);
    this.buckets[bucket] = this.buckets[bucket]! ^ hash;
    this.#total ^= hash;
  }
}

function bucketOf(instance: string): number {
  return createHash('sha1').update(instance).digest()[0]! % ROSTER_BUCKETS;
}
