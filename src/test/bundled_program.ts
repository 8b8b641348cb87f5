/** Programs that tests run as child processes, bundled as in a deployment. */
import { build } from 'esbuild';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/**
 * Bundles a module; resolves to the path of the program. The loader of the tests may change how
 * standard output behaves, so such a program does without it.
 */
export async function bundleProgram(module: URL): Promise<string> {
  const outfile = join(await mkdtemp(join(tmpdir(), 'program-')), 'program.mjs');
  const banner = "import { createRequire } from 'node:module';";
  await build({
    entryPoints: [fileURLToPath(module)],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    banner: { js: `${banner} const require = createRequire(import.meta.url);` },
  });
  return outfile;
}
