/** Pieces of what does not fit into one value of the platform, keyed by their digest. */
import PQueue from 'p-queue';
import { sha256 } from '../configuration/digest.js';
import { OutcomeError } from '../contracts.js';
import { type Platform } from '../platform/platform.js';

const PREFIX = 'parts/';
/** Calls in flight at a time: a platform that serves the whole fleet must not notice one reader. */
const CONCURRENCY = 4;

/**
 * A part never changes and two that are alike are one, so whoever writes one that is there already
 * has nothing to do, and a writer that wakes late can do no harm. Parts are not removed.
 */
export class Parts {
  constructor(private readonly platform: Platform) {}

  /** Stores texts unless they are there; resolves to their digests, in order. */
  async put(texts: readonly string[], deadline: number): Promise<string[]> {
    return inParallel(texts, async (text) => {
      const digest = sha256(text);
      await this.platform.create(PREFIX + digest, text, deadline);
      return digest;
    });
  }

  /**
   * Reads texts back, in order. Throws `OutcomeError` with reason `corrupt` if one is missing or
   * does not have the digest it is stored under.
   */
  async get(digests: readonly string[], deadline: number): Promise<string[]> {
    return inParallel(digests, async (digest) => {
      const stored = await this.platform.get(PREFIX + digest, deadline);
      if (stored && sha256(stored.value) === digest) return stored.value;
      const message = `part ${digest} is missing or damaged`;
      throw new OutcomeError(message, { verdict: 'not-run', reason: 'corrupt' });
    });
  }
}

function inParallel<T, R>(items: readonly T[], task: (item: T) => Promise<R>): Promise<R[]> {
  const queue = new PQueue({ concurrency: CONCURRENCY });
  return queue.addAll(items.map((item) => () => task(item)));
}
