/**
 * Mocha set-up: adds snapshot assertions to chai. If `CI` is set, a missing snapshot fails. A test fails if
 * a program that it started ended though nobody asked it to, or if it does not notice a fault of the
 * product that ended only its own task.
 */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import { describeEnd } from '../bench/process_end.js';
import { Program } from '../bench/processes.js';
import { takeFaults } from './faults.js';

chai.use(jestSnapshotPlugin());

afterEach(() => {
  chai.expect(takeFaults()).to.deep.equal([]);
  chai.expect(Program.takeUnaskedEnds().map(describeEnd)).to.deep.equal([]);
});
