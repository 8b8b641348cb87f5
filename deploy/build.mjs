// Builds what runs, by one tool for one target: `node deploy/build.mjs` the process for the operators'
// platform into target/, `node deploy/build.mjs dist` the programs of the npm package into dist/.
import { rm } from 'node:fs/promises';
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
  entryPoints: ['src/platform/barleyhavend.ts'],
  outfile: 'target/barleyhavend.mjs',
  minify: true,
  lineLimit: 160,
  sourcemap: 'external',
  // Packages in CommonJS inside the bundle still ask for Node's own modules by `require`.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
};

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
} else await build(PLATFORM);
