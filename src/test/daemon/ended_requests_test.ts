import { expect } from 'chai';
import { EndedRequests, histogramText } from '../../daemon/ended_requests.js';

const SERVED = { verdict: 'ran', reason: 'none' } as const;

describe('EndedRequests', () => {
  it('prints a histogram for each route, upstream, verdict and reason', () => {
    const ended = new EndedRequests('entry');
    ended.add({ ...SERVED, route: 'menus', upstream: 'listings', tookMs: 4 });
    ended.add({ ...SERVED, route: 'menus', upstream: 'listings', tookMs: 120 });
    ended.add({ ...SERVED, route: 'a "quoted" one', upstream: 'listings', tookMs: 60_000 });
    ended.add({ verdict: 'not-run', reason: 'no-route', tookMs: 0 });
    expect(histogramText('seconds', 'How long', ended)).toMatchSnapshot();
  });

  // Guards against one series per route: a configuration with thousands of routes would fill the
  // memory of a small machine and overload the metrics collector.
  it('combines routes beyond the limit into one series', () => {
    const ended = new EndedRequests('entry');
    for (let route = 0; route < 5_000; route++) {
      ended.add({ ...SERVED, route: `route-${route}`, upstream: 'listings', tookMs: 1 });
    }
    expect(ended.series).to.have.length(401);
    const other = ended.series.find(({ labels }) => labels.route === 'other');
    expect(other?.buckets[0]).to.equal(4_600);
  });
});
