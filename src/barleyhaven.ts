#!/usr/bin/env node
/** The operators' tool. */
import { main } from './tool/main.js';

process.exitCode = await main(process.argv, process.env);
