// Builds what runs, by one tool for one target: `node deploy/build.mjs` the process for the operators'
// platform into target/, `node deploy/build.mjs dist` the programs of the npm package into dist/.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const COMMON = {
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  legalComments: 'none',
};

// One file with its packages: importing modules one by one would cost each start a good part of a
// second of processor time. Lines are kept short, or a stack would show all of the file.
const PLATFORM = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/barleyhavend.ts'],
  outfile: 'target/barleyhavend.cjs',
  minify: true,
  lineLimit: 160,
  sourcemap: 'external',
};

// Loads that file with what V8 has compiled of it ahead.
const STARTER = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/start.ts'],
  outfile: 'target/start.cjs',
};

const REHEARSAL = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/rehearse.ts'],
  outfile: 'target/rehearse.cjs',
};

/** After so long a rehearsal is given up, in milliseconds. */
const REHEARSAL_MS = 60_000;

/** With the flags of the deploy file: V8 takes only what was compiled with the same. */
async function rehearse() {
  const file = await readFile('deploy/system.toml', 'utf8');
  const [, flags = ''] = /^run = "node (.*) target\/start\.cjs"$/m.exec(file) ?? [];
  const words = [...flags.split(' '), 'target/rehearse.cjs'];
  // Its processes write their lines to standard output; nobody needs them.
  const stdio = ['ignore', 'ignore', 'inherit'];
  const rehearsing = spawn(process.execPath, words, { stdio, timeout: REHEARSAL_MS });
  const [code] = await once(rehearsing, 'exit');
  if (code !== 0) console.error('not rehearsed: processes will start from the source');
}

const PROGRAMS = ['barleyhavend', 'barleyhaven', 'index', 'bench/main', 'bench/demo'];
// Each runs in a process of its own, started by name.
const BENCH = ['platform_main', 'baseline_main', 'plain_proxy_main', 'upstream_main'];

const PACKAGE = {
  ...COMMON,
  entryPoints: [...PROGRAMS, ...BENCH.map((name) => `bench/${name}`)].map(
    (name) => `src/${name}.ts`,
  ),
  outbase: 'src',
  outdir: 'dist',
  splitting: true,
  chunkNames: 'chunks/[name]-[hash]',
  // Dependencies are installed beside the package.
  packages: 'external',
  sourcemap: 'linked',
};

if (process.argv[2] === 'dist') {
  await rm('dist', { recursive: true, force: true });
  await build(PACKAGE);
} else {
  await rm('target/barleyhavend.cjs.cache', { force: true });
  await Promise.all([PLATFORM, STARTER, REHEARSAL].map(build));
  await rehearse();
}
