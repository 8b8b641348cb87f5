/**
 * Mocha set-up: adds snapshot assertions to chai. If `CI` is set, a missing snapshot fails. A test fails if
 * a program that it started ended though nobody asked it to.
 */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import { describeEnd } from '../bench/process_end.js';
import { Program } from '../bench/processes.js';

chai.use(jestSnapshotPlugin());

afterEach(() => {
  chai.expect(Program.takeUnaskedEnds().map(describeEnd)).to.deep.equal([]);
});
