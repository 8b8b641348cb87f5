/** Public surface: what embeds a process, or stands in for the world around it. */
export * from './contracts.js';
export { Instance, type InstanceDependencies as Surroundings } from './daemon/instance.js';
export { readSettings, Settings } from './daemon/settings.js';
export { Platform } from './platform/platform.js';
export { Clock, MachineClock } from './runtime/clock.js';
export { MachineRandom, Random, SeededRandom } from './runtime/random.js';
