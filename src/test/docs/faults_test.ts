import { expect } from 'chai';
import { readFile } from 'node:fs/promises';

const PAGE = new URL('../../../docs/FAULTS.md', import.meta.url);
const TESTS = new URL('../', import.meta.url);
/** Matches references such as `source/source_test.ts` › accepts a note once. */
const TEST_REFERENCE = /`([a-z_/]+_test\.ts)` › ([^|\n;]+?)\s*(?=[;|\n])/g;

describe('docs/FAULTS.md', () => {
  // Guards against references to tests that were renamed or removed: the page is evidence for the
  // insurer, and would claim coverage that does not exist.
  it('names only tests that exist', async () => {
    const references = [...(await readFile(PAGE, 'utf8')).matchAll(TEST_REFERENCE)];
    const missing: string[] = [];
    for (const [text, file = '', title = ''] of references) {
      if (!(await titlesOf(file)).has(title.trim())) missing.push(text);
    }
    expect(missing).to.deep.equal([]);
    expect(references.length).to.be.greaterThan(0);
  });
});

async function titlesOf(file: string): Promise<ReadonlySet<string>> {
  const source = await readFile(new URL(file, TESTS), 'utf8').catch(() => '');
  const titles = source.matchAll(/\bit\(\s*(['"`])(.+?)\1/gs);
  return new Set([...titles].map(([, , title = '']) => title));
}
