import { expect } from 'chai';
import { MAX_BASE_LAG } from '../../source/review.js';
import { brief, Fixture, note, OPENING, upstreams } from './fixture.js';

describe('Source', () => {
  it('accepts a note once, however often it is submitted', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    const first = await source.submit(OPENING, fixture.deadline);
    const again = await fixture.source().submit(OPENING, fixture.deadline);
    const other = await source.submit({ ...OPENING, title: 'Other' }, fixture.deadline);
    expect([first, again, other].map(brief)).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(1);
  });

  it('amends by replacing the earlier content with the new in one version', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(note('base', { add: upstreams('bookings') }), fixture.deadline);
    await source.submit(OPENING, fixture.deadline);
    const amendment = note('opening', {
      add: upstreams('menu-cards'),
      change: { upstreams: [{ name: 'bookings', about: 'seats' }] },
    });
    const amended = await source.amend(amendment, fixture.deadline);
    const again = await fixture.source().amend(amendment, fixture.deadline);
    expect([amended, again].map(brief)).toMatchSnapshot();
    const [, , third] = await fixture.records();
    expect(third?.version.change).toMatchSnapshot();
    expect(await fixture.held()).toMatchSnapshot();
  });

  // Guards against a note that passes its schema and is too large to be stored or held.
  it('refuses a note that exceeds a limit of size, and stores nothing', async () => {
    using fixture = new Fixture();
    const split = Array.from({ length: 1_200 }, () => ({ upstream: 'listings', weight: 1 }));
    const wide = { name: 'wide', pathPrefix: '/', upstream: 'listings', split };
    const add = { ...upstreams('listings'), routes: [wide] };
    const outcome = await fixture.source().submit(note('wide', { add }), fixture.deadline);
    expect(brief(outcome)).toMatchSnapshot();
    expect(await fixture.records()).to.deep.equal([]);
  });

  it('restores the state before a note and its amendments on withdrawal', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(note('base', { add: upstreams('bookings') }), fixture.deadline);
    const before = await fixture.held();
    await source.submit(OPENING, fixture.deadline);
    const change = { upstreams: [{ name: 'bookings', about: 'seats' }] };
    await source.amend(note('opening', { change }), fixture.deadline);
    const withdrawn = await source.withdraw('opening', 'omar', fixture.deadline);
    const again = await fixture.source().withdraw('opening', 'omar', fixture.deadline);
    expect([withdrawn, again].map(brief)).toMatchSnapshot();
    expect(await fixture.held()).to.deep.equal(before);
  });

  it('answers a late repeat of an earlier amendment without applying it again', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(OPENING, fixture.deadline);
    const first = note('opening', { add: upstreams('listings') });
    await source.amend(first, fixture.deadline);
    await source.amend(note('opening', { add: upstreams('bookings') }), fixture.deadline);
    expect(brief(await source.amend(first, fixture.deadline))).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(3);
  });

  it('neither amends nor withdraws a note that is unknown or withdrawn', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    const unknown = [
      await source.amend(OPENING, fixture.deadline),
      await source.withdraw('opening', 'omar', fixture.deadline),
    ];
    await source.submit(OPENING, fixture.deadline);
    await source.withdraw('opening', 'omar', fixture.deadline);
    const gone = await source.amend({ ...OPENING, title: 'Back' }, fixture.deadline);
    expect([...unknown, gone].map(brief)).toMatchSnapshot();
  });

  it('refuses a withdrawal that leaves dangling references, by path', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(OPENING, fixture.deadline);
    const routes = [{ name: 'today', pathPrefix: '/today', upstream: 'listings' }];
    await source.submit(note('today', { add: { routes } }), fixture.deadline);
    expect(await source.withdraw('opening', 'omar', fixture.deadline)).toMatchSnapshot();
    expect(await fixture.records()).to.have.length(2);
  });

  it('reports resources touched by a later note as a conflict until it is withdrawn', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(OPENING, fixture.deadline);
    const change = { upstreams: [{ name: 'listings', about: 'suppers' }] };
    await source.submit(note('about', { change }), fixture.deadline);
    const conflicts = [
      await source.withdraw('opening', 'omar', fixture.deadline),
      await source.amend(note('opening', { add: upstreams('bookings') }), fixture.deadline),
    ];
    expect(conflicts).toMatchSnapshot();
    await source.withdraw('about', 'omar', fixture.deadline);
    expect(brief(await source.withdraw('opening', 'omar', fixture.deadline))).toMatchSnapshot();
    expect(await fixture.held()).to.deep.equal([]);
  });

  it('accepts a note based on an older version only if the resources are disjoint', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(OPENING, fixture.deadline);
    await source.submit(note('more', { add: upstreams('bookings') }), fixture.deadline);
    const change = (name: string) => ({ upstreams: [{ name, about: 'new' }] });
    const disjoint = note('disjoint', { base: 1, change: change('listings') });
    const clashing = note('clashing', { base: 1, change: change('bookings') });
    const answers = [
      await source.submit(disjoint, fixture.deadline),
      await source.submit(clashing, fixture.deadline),
    ];
    expect(answers.map(brief)).toMatchSnapshot();
  });

  it('refuses a base that is ahead of the log or too far behind', async () => {
    using fixture = new Fixture();
    await fixture.fill(MAX_BASE_LAG + 1);
    const based = (base: number) => note('based', { base, add: upstreams('x') });
    const source = fixture.source();
    const answers = [
      await source.submit(based(MAX_BASE_LAG + 2), fixture.deadline),
      await source.submit(based(0), fixture.deadline),
      await source.submit(based(1), fixture.deadline),
    ];
    expect(answers.map(brief)).toMatchSnapshot();
  });

  it('checks a note against the head and writes nothing', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    await source.submit(OPENING, fixture.deadline);
    const { writes } = { ...fixture.store.calls };
    const fine = note('more', { add: upstreams('bookings') });
    const routes = [{ name: 'today', pathPrefix: '/today', upstream: 'gone', limit: 'none' }];
    const dangling = note('today', { add: { routes } });
    const checks = [
      await source.check(fine, 'submit', fixture.deadline),
      await source.check(dangling, 'submit', fixture.deadline),
      await source.check(note('opening', { add: upstreams('x') }), 'amend', fixture.deadline),
    ];
    expect(checks).toMatchSnapshot();
    expect(fixture.store.calls.writes).to.equal(writes);
  });
});
