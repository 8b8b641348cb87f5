import { expect } from 'chai';
import { readFile } from 'node:fs/promises';

const PAGE = new URL('../../../docs/FAULTS.md', import.meta.url);
const TESTS = new URL('../', import.meta.url);
/** Such as `source/source_test.ts` › accepts a note once. */
const NAMED = /`([a-z_/]+_test\.ts)` › ([^|\n;]+?)\s*(?=[;|\n])/g;

describe('docs/FAULTS.md', () => {
  // The matrix is what the insurer reads: a cell whose test was renamed or removed would promise
  // something that nothing provokes any more. Every title that it names must stand in its file.
  it('names only tests that exist', async () => {
    const named = [...(await readFile(PAGE, 'utf8')).matchAll(NAMED)];
    const missing: string[] = [];
    for (const [text, file = '', title = ''] of named) {
      if (!(await titlesOf(file)).has(title.trim())) missing.push(text);
    }
    expect(missing).to.deep.equal([]);
    expect(named.length).to.be.greaterThan(0);
  });
});

async function titlesOf(file: string): Promise<ReadonlySet<string>> {
  const source = await readFile(new URL(file, TESTS), 'utf8').catch(() => '');
  const titles = source.matchAll(/\bit\(\s*(['"`])(.+?)\1/gs);
  return new Set([...titles].map(([, , title = '']) => title));
}
