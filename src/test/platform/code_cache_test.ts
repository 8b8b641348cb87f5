import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { loadWithCodeCache } from '../../platform/code_cache.js';

const SOURCE = 'exports.run = () => 42;';

// Guards against a process that does not start because its code cache does not match the bundle.
describe('loadWithCodeCache', () => {
  let folder = '';
  let path = '';

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    path = join(folder, 'bundle.cjs');
    await writeFile(path, SOURCE);
  });

  afterEach(() => rm(folder, { recursive: true }));

  it('loads the source if there is no code cache', () => {
    const { bundle, cacheMissReason } = loadWithCodeCache(path);
    expect(cacheMissReason).to.equal('missing');
    expect(bundle.run).to.be.a('function');
  });

  it('uses a code cache that was written', () => {
    loadWithCodeCache(path).writeCache();
    const { bundle, cacheMissReason } = loadWithCodeCache(path);
    expect(cacheMissReason).to.equal(undefined);
    expect(bundle.run).to.be.a('function');
  });

  it('loads the source and gives the reason if V8 rejects the code cache', async () => {
    loadWithCodeCache(path).writeCache();
    await writeFile(path, `${SOURCE} // longer than before`);
    const { bundle, cacheMissReason } = loadWithCodeCache(path);
    expect(cacheMissReason).to.equal('made by another Node, or with other flags');
    expect(bundle.run).to.be.a('function');
  });

  it('loads the source if the code cache is corrupt', async () => {
    await writeFile(`${path}.cache`, 'not code');
    const { bundle, cacheMissReason } = loadWithCodeCache(path);
    expect(cacheMissReason).to.equal('made by another Node, or with other flags');
    expect(bundle.run).to.be.a('function');
  });
});
