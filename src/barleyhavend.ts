#!/usr/bin/env node
/** Command line of the daemon. */
import { main } from './daemon/main.js';

process.exitCode = await main(process.argv, process.env);
