/** Mocha set-up: adds snapshot assertions to chai. If `CI` is set, a missing snapshot fails. */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import { takeFaults } from './faults.js';

chai.use(jestSnapshotPlugin());

// Guards against faults of the program that a test does not notice, since they end only their own task.
afterEach(() => {
  chai.expect(takeFaults()).to.deep.equal([]);
});
