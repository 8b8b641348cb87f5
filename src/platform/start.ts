/** What the platform starts: loads the bundle beside it and runs it. */
import { join } from 'node:path';
import { loadCompiled } from './compiled.js';

const { bundle, uncompiled } = loadCompiled(join(__dirname, 'barleyhavend.cjs'));
void bundle.run(process.env, uncompiled);
