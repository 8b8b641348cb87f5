/**
 * Loads the bundle together with the code that V8 compiled of it ahead. A process that starts cold
 * spends a good part of its first second on compiling functions one by one as they are first
 * called; compiled ahead, after a rehearsal, they are there when the bundle is.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';
import type * as Bundle from './barleyhavend.js';

type Wrapper = (load: NodeJS.Require, module: { exports: unknown }, exports: unknown) => void;

export interface Loaded {
  readonly bundle: typeof Bundle;
  /** Why nothing compiled ahead is used; undefined if it is. */
  readonly uncompiled: string | undefined;
  /** Writes what V8 has compiled by now beside the bundle. */
  keep(): void;
}

/** `path` is the bundle's; what is compiled of it lies beside it. */
export function loadCompiled(path: string): Loaded {
  const kept = `${path}.cache`;
  const cachedData = readIfThere(kept);
  // eslint-disable-next-line n/no-sync -- nothing else runs yet
  const source = readFileSync(path, 'latin1');
  const text = `(function (require, module, exports) {${source}\n})`;
  const script = new Script(text, { filename: path, ...(cachedData && { cachedData }) });
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as Wrapper;
  wrapper(createRequire(path), module, module.exports);
  return {
    bundle: module.exports as typeof Bundle,
    uncompiled: reasonOf(cachedData, script),
    // eslint-disable-next-line n/no-sync -- a build has nothing else to do
    keep: () => writeFileSync(kept, script.createCachedData()),
  };
}

function readIfThere(path: string): Buffer | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- nothing else runs yet
    return readFileSync(path);
  } catch {
    return undefined;
  }
}

function reasonOf(cachedData: Buffer | undefined, script: Script): string | undefined {
  if (!cachedData) return 'missing';
  // V8 takes only what the same version made with the same flags, of a source as long as this.
  return script.cachedDataRejected ? 'made by another Node, or with other flags' : undefined;
}
