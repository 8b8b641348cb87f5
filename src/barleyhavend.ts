#!/usr/bin/env node
/** The daemon's command line. */
import { main } from './daemon/main.js';

process.exitCode = await main(process.argv, process.env);
