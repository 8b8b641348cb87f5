/** The program that the platform starts: loads the bundle beside it and runs it. */
import { join } from 'node:path';
import { Signals } from '../daemon/signals.js';
import { MachineClock } from '../runtime/clock.js';
import { loadWithCodeCache } from './code_cache.js';

// Loading the bundle takes up to half a second on a busy machine, and settings may change meanwhile.
const signals = new Signals(new MachineClock());
const { bundle, cacheMissReason } = loadWithCodeCache(join(__dirname, 'barleyhavend.cjs'));
void bundle.run(process.env, signals, cacheMissReason);
