/** Mocha set-up: adds snapshot assertions to chai. If `CI` is set, a missing snapshot fails. */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';

chai.use(jestSnapshotPlugin());
