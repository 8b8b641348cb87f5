/** The program that the platform starts: loads the bundle beside it and runs it. */
import { join } from 'node:path';
import { loadWithCodeCache } from './code_cache.js';

const { bundle, cacheMissReason } = loadWithCodeCache(join(__dirname, 'barleyhavend.cjs'));
void bundle.run(process.env, cacheMissReason);
