import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { loadCompiled } from '../../platform/compiled.js';

const SOURCE = 'exports.run = () => 42;';

// Guards against a process that doesn't start because what was compiled ahead does not fit.
describe('compiled ahead', () => {
  let folder = '';
  let path = '';

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    path = join(folder, 'bundle.cjs');
    await writeFile(path, SOURCE);
  });

  afterEach(() => rm(folder, { recursive: true }));

  it('starts from the source when nothing was compiled', () => {
    const { bundle, uncompiled } = loadCompiled(path);
    expect(uncompiled).to.equal('missing');
    expect(bundle.run).to.be.a('function');
  });

  it('uses what was kept', () => {
    loadCompiled(path).keep();
    const { bundle, uncompiled } = loadCompiled(path);
    expect(uncompiled).to.equal(undefined);
    expect(bundle.run).to.be.a('function');
  });

  it('starts from the source, and says so, when what was kept was made otherwise', async () => {
    loadCompiled(path).keep();
    await writeFile(path, `${SOURCE} // longer than before`);
    const { bundle, uncompiled } = loadCompiled(path);
    expect(uncompiled).to.equal('made by another Node, or with other flags');
    expect(bundle.run).to.be.a('function');
  });

  it('starts from the source when what was kept is no code at all', async () => {
    await writeFile(`${path}.cache`, 'not code');
    const { bundle, uncompiled } = loadCompiled(path);
    expect(uncompiled).to.equal('made by another Node, or with other flags');
    expect(bundle.run).to.be.a('function');
  });
});
