// Bundles the process for the platform into one file: importing its modules one by one would cost
// each start a good part of a second of processor time.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/platform/barleyhavend.ts'],
  outfile: 'target/barleyhavend.mjs',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // Packages in CommonJS inside the bundle still ask for Node's own modules by `require`.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  legalComments: 'none',
});
