#!/usr/bin/env node
/** Command line of the daemon. */
import { Signals } from './daemon/signals.js';
import { MachineClock } from './runtime/clock.js';

// Loading the rest takes some tenths of a second, in which a signal must not end the process.
const signals = new Signals(new MachineClock());
const { main } = await import('./daemon/main.js');
process.exitCode = await main(process.argv, process.env, signals);
