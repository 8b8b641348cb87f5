/** Content-addressed storage for parts of data that does not fit into one value of the platform. */
import PQueue from 'p-queue';
import { sha256 } from '../configuration/digest.js';
import { OutcomeError } from '../contracts.js';
import { type Platform } from '../platform/platform.js';

const PREFIX = 'parts/';
/** Most concurrent calls, so that one reader does not load a platform shared by the whole fleet. */
const CONCURRENCY = 4;

/**
 * Parts are immutable and equal parts share one key, so writing an existing part does nothing and a
 * writer that resumes late does no harm. Parts are never removed.
 */
export class Parts {
  constructor(private readonly platform: Platform) {}

  /** Stores texts that are not stored yet; resolves to the digests of all, in order. */
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
