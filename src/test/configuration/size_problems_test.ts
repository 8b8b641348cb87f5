import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { sizeProblems } from '../../configuration/size_problems.js';
import { Upstream } from '../../contracts.js';

function upstreams(count: number, aboutLength: number): Configuration {
  const about = 'x'.repeat(aboutLength);
  const put = Array.from({ length: count }, (_, index) =>
    Upstream.parse({ kind: 'upstream', name: `u${index}`, about }),
  );
  return Configuration.empty.next({ put, remove: [] });
}

describe('sizeProblems', () => {
  // Guards against a note that proxies have no memory for, or that no stored value can hold.
  it('names each limit that a configuration exceeds, and none at the limit', () => {
    const tooLarge = [upstreams(20_001, 0), upstreams(1, 32_000), upstreams(270, 30_000)];
    expect(tooLarge.map(sizeProblems)).toMatchSnapshot();
    expect(sizeProblems(upstreams(20_000, 0))).to.deep.equal([]);
  });
});
