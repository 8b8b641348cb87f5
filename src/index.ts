/** Public API: starts an instance in another program, with its own or custom external services. */
export * from './contracts.js';
export { type InstanceDependencies as Surroundings } from './daemon/dependencies.js';
export { Instance } from './daemon/instance.js';
export { readSettings, Settings } from './daemon/settings.js';
export { Platform } from './platform/platform.js';
export { Clock, MachineClock } from './runtime/clock.js';
export { MachineRandom, Random, SeededRandom } from './runtime/random.js';
