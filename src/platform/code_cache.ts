/**
 * Loads the bundle together with its V8 code cache. A process that starts without one spends a
 * large part of its first second compiling functions as they are first called. The build writes the
 * cache after a rehearsal, so that it contains these functions.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';
import type * as Bundle from './barleyhavend.js';

type Wrapper = (load: NodeJS.Require, module: { exports: unknown }, exports: unknown) => void;

export interface LoadedBundle {
  readonly bundle: typeof Bundle;
  /** Why the code cache is not used; undefined if it is. */
  readonly cacheMissReason: string | undefined;
  /** Writes the code that V8 has compiled so far to the code cache beside the bundle. */
  writeCache(): void;
}

/** Loads the bundle at `path`; its code cache is the file `<path>.cache`. */
export function loadWithCodeCache(path: string): LoadedBundle {
  const cachePath = `${path}.cache`;
  const cachedData = readIfExists(cachePath);
  // eslint-disable-next-line n/no-sync -- nothing else runs yet
  const source = readFileSync(path, 'latin1');
  const text = `(function (require, module, exports) {${source}\n})`;
  const script = new Script(text, { filename: path, ...(cachedData && { cachedData }) });
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as Wrapper;
  wrapper(createRequire(path), module, module.exports);
  return {
    bundle: module.exports as typeof Bundle,
    cacheMissReason: missReasonOf(cachedData, script),
    // eslint-disable-next-line n/no-sync -- only the build calls it, and does nothing else then
    writeCache: () => writeFileSync(cachePath, script.createCachedData()),
  };
}

function readIfExists(path: string): Buffer | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- nothing else runs yet
    return readFileSync(path);
  } catch {
    return undefined;
  }
}

function missReasonOf(cachedData: Buffer | undefined, script: Script): string | undefined {
  if (!cachedData) return 'missing';
  // V8 accepts a cache only from the same version and flags, and for a source of the same length.
  return script.cachedDataRejected ? 'made by another Node, or with other flags' : undefined;
}
