import { expect } from 'chai';
import { InstanceVersions } from '../../distribution/instance_versions.js';
import { type Member } from '../../contracts.js';

const CAPACITY = 4_096;

function life(incarnation: number, instance = 'arima-1'): Member {
  return { instance, incarnation } as Member;
}

describe('InstanceVersions', () => {
  // Guards against a new process of an instance that confirms its own version: only reports of
  // earlier processes while ready count.
  it('returns the version heard before a process started, ignoring its own reports', () => {
    const versions = new InstanceVersions();
    expect(versions.versionBefore('arima-1', 10)).to.equal(undefined);
    versions.record(life(10), 8, true);
    versions.record(life(10), 7, true);
    expect(versions.versionBefore('arima-1', 10)).to.equal(undefined);
    expect(versions.versionBefore('arima-1', 20)).to.equal(8);
    versions.record(life(20), 3, false);
    expect(versions.versionBefore('arima-1', 20)).to.equal(8);
  });

  // Guards against an incomplete version after the clock of an instance went back, which makes its
  // new process look like the older one.
  it('returns undefined after the clock of an instance went back', () => {
    const versions = new InstanceVersions();
    versions.record(life(10), 5, true);
    versions.record(life(20), 8, true);
    expect(versions.versionBefore('arima-1', 15)).to.equal(undefined);
  });

  it('returns undefined for a process that was not ready, or that read from the platform', () => {
    const versions = new InstanceVersions();
    versions.record(life(10), 8, true);
    versions.record(life(20), 3, false);
    expect(versions.versionBefore('arima-1', 30)).to.equal(undefined);
  });

  it('evicts the instance heard least recently when it is full', () => {
    const versions = new InstanceVersions();
    for (let index = 0; index < CAPACITY; index++) versions.record(life(1, `i-${index}`), 1, true);
    versions.record(life(1, 'i-0'), 2, true);
    versions.record(life(1, 'one-more'), 1, true);
    expect(versions.versionBefore('i-0', 2)).to.equal(2);
    expect(versions.versionBefore('i-1', 2)).to.equal(undefined);
  });
});
