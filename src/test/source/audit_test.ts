import { expect } from 'chai';
import { type AuditEntry, MAX_NAME_LENGTH, type Problem } from '../../contracts.js';
import { attemptOf, type Source } from '../../source/source.js';
import { renderAudit } from '../../tool/render_audit.js';
import { Fixture, note, OPENING, upstreams } from './fixture.js';

const PROBLEM: Problem = { path: 'yaml', message: 'cannot be read' };

async function trail(source: Source, fixture: Fixture): Promise<AuditEntry[]> {
  const entries: AuditEntry[] = [];
  let page = await source.history(fixture.deadline);
  entries.push(...page.entries);
  while (page.next) {
    page = await source.history(fixture.deadline, page.next);
    entries.push(...page.entries);
  }
  return entries;
}

describe('Audit', () => {
  it('records who did what, when and with which outcome', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    const step = () => fixture.time.tick(1_000);
    await source.submit(OPENING, fixture.deadline);
    step();
    const routes = [{ name: 'today', pathPrefix: '/today', upstream: 'gone', limit: 'none' }];
    await source.submit(note('today', { add: { routes } }), fixture.deadline);
    step();
    await source.refuse(attemptOf('amend', { author: 'omar\u001b[2J' }), [PROBLEM]);
    step();
    const change = { upstreams: [{ name: 'listings', about: 'suppers' }] };
    await source.submit(note('about', { change }), fixture.deadline);
    step();
    await source.withdraw('opening', 'omar', fixture.deadline);
    expect(renderAudit(await trail(fixture.source(), fixture))).toMatchSnapshot();
  });

  it('writes only the refusal for a refused note', async () => {
    using fixture = new Fixture();
    const refused = await fixture.source().submit(note('nothing', {}), fixture.deadline);
    expect(refused).toMatchSnapshot();
    const stored = await fixture.store.list({ prefix: '' }, fixture.deadline);
    expect(stored.map(({ key }) => key.split('/')[0])).to.deep.equal(['refusals']);
    expect(fixture.store.calls.writes).to.equal(1);
  });

  it('limits the size of a refusal', async () => {
    using fixture = new Fixture();
    const problems = Array.from({ length: 1_000 }, (_, index) => ({
      path: `route/${index}`.repeat(MAX_NAME_LENGTH),
      message: 'long '.repeat(1_000),
    }));
    await fixture.source().refuse(attemptOf('submit', undefined), problems);
    const [stored] = await fixture.store.list({ prefix: 'refusals/' }, fixture.deadline);
    expect(stored?.value.length).to.be.below(40_000);
    const [entry] = await trail(fixture.source(), fixture);
    expect([entry?.author, entry?.note, entry?.omitted]).to.deep.equal(['unknown', 'unknown', 950]);
  });

  // The platform is down when a note is refused. The answer must be given all the same and, like
  // the counts, show the missing entry, or an incomplete trail would seem complete.
  it('answers and counts a refusal that cannot be audited', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    fixture.store.faults.down = true;
    const refused = await source.refuse(attemptOf('submit', {}), [PROBLEM]);
    expect(refused.audited).to.equal(false);
    expect(source.counts).toMatchSnapshot();
  });

  it('pages through any number of acceptances and refusals, in time order', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    for (let index = 0; index < 150; index++) {
      fixture.time.tick(1);
      await source.submit(note(`n${index}`, { add: upstreams(`u${index}`) }), fixture.deadline);
      if (index % 3 === 0) continue;
      fixture.time.tick(1);
      await source.refuse(attemptOf('submit', { id: `r${index}` }), [PROBLEM]);
    }
    const entries = await trail(source, fixture);
    const instants = entries.map(({ at }) => at);
    expect(entries).to.have.length(250);
    expect(instants).to.deep.equal([...instants].sort((a, b) => a - b));
    expect(new Set(entries.map((entry) => entry.note)).size).to.equal(250);
  });
});
