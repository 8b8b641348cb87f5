/** Hashes over the statements of a roster, kept up to date with each change. */
import { createHash } from 'node:crypto';
import { type Member } from '../contracts.js';
import { hashOf, isGone } from './statement.js';

/** Parts into which rosters are divided for comparison. */
export const BUCKETS = 64;

/**
 * Dead and departed members do not count: processes forget them at different times, and rosters
 * that differ by nothing else must compare as equal.
 */
export class RosterDigest {
  readonly #hashes = new Map<string, number>();

  readonly #bucketOf = new Map<string, number>();

  /** Hash over each bucket, the same whatever the order in which statements came. */
  readonly buckets: number[] = Array.from({ length: BUCKETS }, () => 0);

  #total = 0;

  /** Hash over all. */
  get total(): string {
    return (this.#total >>> 0).toString(36);
  }

  /** Hash of what is held about an instance, dead or not. */
  hashOf(instance: string): number | undefined {
    return this.#hashes.get(instance);
  }

  /** The bucket in which an instance counts. */
  bucketOf(instance: string): number {
    return this.#bucketOf.get(instance) ?? bucketOf(instance);
  }

  replace(before: Member | undefined, after: Member): void {
    const bucket = this.bucketOf(after.instance);
    if (before) this.remove(before);
    const hash = hashOf(after);
    this.#hashes.set(after.instance, hash);
    this.#bucketOf.set(after.instance, bucket);
    if (!isGone(after)) this.#toggle(after.instance, hash);
  }

  remove(member: Member): void {
    const hash = this.#hashes.get(member.instance) ?? 0;
    if (!isGone(member)) this.#toggle(member.instance, hash);
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
  return createHash('sha1').update(instance).digest()[0]! % BUCKETS;
}
