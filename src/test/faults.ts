/** Collects the faults that occur while tests run, so that one that is caught fails the test all the same. */
import { onFault } from '../runtime/faults.js';

let faults: { readonly place: string; readonly error: unknown }[] = [];

onFault((place, error) => faults.push({ place, error }));

// Mocha ignores rejections that nobody handles; each of them would end a process of the product.
process.on('unhandledRejection', (error) => faults.push({ place: 'unhandled rejection', error }));

/** The faults since the last call; a test that provokes faults takes them. */
export function takeFaults(): readonly { readonly place: string; readonly error: unknown }[] {
  const taken = faults;
  faults = [];
  return taken;
}
