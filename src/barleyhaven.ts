#!/usr/bin/env node
/** Command line of the operators' tool. */
import { main } from './tool/main.js';

process.exitCode = await main(process.argv, process.env);
