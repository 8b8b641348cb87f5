import { connect } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import * as fc from 'fast-check';
import { MeshDialect } from '../../platform/mesh_dialect.js';
import { DEFAULT_DIALECT } from '../../requests/default_dialect.js';
import { type Dialect } from '../../requests/dialect.js';
import { MachineClock } from '../../runtime/clock.js';
import { LOOPBACK } from '../../standins/listen.js';
import { takeFaults } from '../faults.js';
import { ask } from '../requests/test_path.js';
import { type OddInput, oddInput } from './odd_input.js';
import { OddProcess } from './odd_process.js';

/** Inputs for each set of header conventions; more by hand. */
const INPUTS = Number(process.env.ODD_INPUTS ?? 1_200);
const SEED = Number(process.env.ODD_SEED ?? 20_261_205);
/** Inputs at a time. */
const BATCH = 40;
/** How long a connection is open whose sender does not close it, in milliseconds. */
const STAY_MS = 40;
const SOUND_BESIDE = 4;
/** Longer than all timeouts of the routes and the wait after a refusal. */
const SETTLE_MS = 15_000;
const DIALECTS: Readonly<Record<string, Dialect>> = {
  'the default conventions': DEFAULT_DIALECT,
  'the conventions of the platform': new MeshDialect(() => 'bookings'),
};

describe('a process', () => {
  for (const [name, dialect] of Object.entries(DIALECTS)) {
    // Guards against the end of the process, with all requests in flight, and against requests that get no
    // answer, by input of one caller, peer or upstream instance that no test has thought of.
    it(`outlives odd input on all of its ports, with ${name}`, async function test() {
      this.timeout(60_000 + INPUTS * 20);
      await using subject = await OddProcess.start(new MachineClock(), dialect);
      await checkServes(subject);
      const batch = fc.tuple(
        ...Array.from({ length: BATCH }, (_, index) => oddInput(`odd-${index}`)),
      );
      await fc.assert(
        fc.asyncProperty(batch, (inputs) => checkBatch(subject, inputs)),
        { numRuns: Math.ceil(INPUTS / BATCH), seed: SEED, endOnFailure: true },
      );
      expect(await settles(() => subject.inFlight === 0)).to.equal(true);
      await checkServes(subject);
    });
  }
});

async function checkBatch(subject: OddProcess, inputs: readonly OddInput[]): Promise<void> {
  subject.announce();
  for (const [index, { answer }] of inputs.entries()) {
    subject.upstream.plan(`odd-${index}`, answer);
  }
  const odd = inputs.map((input) => send(subject.ports[input.port], input));
  const sound = Array.from({ length: SOUND_BESIDE }, () => askSound(subject));
  const statuses = await Promise.all(sound);
  await Promise.all(odd);
  expect(takeFaults()).to.deep.equal([]);
  expect(statuses.every((status) => status > 0)).to.equal(true);
}

/** Resolves to the status of the complete response; rejects if there is none. */
async function askSound({ ports }: OddProcess): Promise<number> {
  return (await ask(ports.callers, { path: '/sound' })).status;
}

/** Sound requests are served again, as many as there are connections to the upstream instance. */
async function checkServes(subject: OddProcess): Promise<void> {
  const isServed = async () => {
    subject.announce();
    return (await askSound(subject)) === 200;
  };
  expect(await settles(isServed)).to.equal(true);
  const statuses = await Promise.all(Array.from({ length: 100 }, () => askSound(subject)));
  expect(new Set(statuses)).to.deep.equal(new Set([200]));
}

async function settles(condition: () => boolean | Promise<boolean>): Promise<boolean> {
  const deadline = Date.now() + SETTLE_MS;
  while (!(await condition())) {
    if (Date.now() > deadline) return false;
    await sleep(20);
  }
  return true;
}

async function send(port: number, { pieces, ending }: OddInput): Promise<void> {
  const socket = connect(port, LOOPBACK);
  socket.on('error', () => {});
  socket.resume();
  for (const piece of pieces) {
    socket.write(piece);
    await nextTurn();
  }
  if (ending === 'reset') socket.resetAndDestroy();
  else if (ending === 'end') socket.end();
  if (ending !== 'reset') await sleep(STAY_MS);
  socket.destroy();
}
