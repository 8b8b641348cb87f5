// Builds all programs with esbuild for Node 20. `node deploy/build.mjs` builds the process for the
// operators' platform into target/; with the argument `dist`, the npm package's programs into dist/.
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

// A single bundle including its dependencies: importing modules one by one would cost each start a
// good part of a second of CPU time. Node prints the source line of an uncaught error, which would
// be the whole bundle without `lineLimit`.
const PLATFORM = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/barleyhavend.ts'],
  outfile: 'target/barleyhavend.cjs',
  minify: true,
  lineLimit: 160,
  sourcemap: 'external',
};

// Loads the bundle with its V8 code cache.
const STARTER = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/start.ts'],
  outfile: 'target/start.cjs',
};

// Runs the bundle under load to fill its V8 code cache.
const REHEARSAL = {
  ...COMMON,
  format: 'cjs',
  entryPoints: ['src/platform/rehearse.ts'],
  outfile: 'target/rehearse.cjs',
};

const REHEARSAL_TIMEOUT_MS = 60_000;

/** Uses the Node flags of the deploy file: V8 rejects a code cache made with other flags. */
async function writeCodeCache() {
  const file = await readFile('deploy/system.toml', 'utf8');
  const [, flags = ''] = /^run = "node (.*) target\/start\.cjs"$/m.exec(file) ?? [];
  const args = [...flags.split(' '), 'target/rehearse.cjs'];
  // The log lines of its processes, on standard output, are not needed.
  const stdio = ['ignore', 'ignore', 'inherit'];
  const rehearsal = spawn(process.execPath, args, { stdio, timeout: REHEARSAL_TIMEOUT_MS });
  const [code] = await once(rehearsal, 'exit');
  if (code !== 0)
    console.error(
      `code cache not written (exit code ${code}): processes will compile the bundle at start`,
    );
}

const PROGRAMS = ['barleyhavend', 'barleyhaven', 'index', 'bench/main', 'bench/demo'];
// The benchmarks start these by name as child processes.
const BENCH_PROGRAMS = ['platform_main', 'baseline_main', 'plain_proxy_main', 'upstream_main'];

const PACKAGE = {
  ...COMMON,
  entryPoints: [...PROGRAMS, ...BENCH_PROGRAMS.map((name) => `bench/${name}`)].map(
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
  await writeCodeCache();
}
