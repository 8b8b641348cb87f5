import * as fc from 'fast-check';

/** Mostly the first, so that most messages are odd in one or two places only. */
export const mostly = (usual: string, ...odd: readonly string[]) =>
  fc.oneof(
    { weight: 12, arbitrary: fc.constant(usual) },
    { weight: 1, arbitrary: fc.constantFrom(...odd) },
  );
