/** Mocha's root set-up: snapshots through chai. With CI set, a missing snapshot fails. */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';

chai.use(jestSnapshotPlugin());
