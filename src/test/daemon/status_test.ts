import { expect } from 'chai';
import { type Survey } from '../../contracts.js';
import { type OperatedParts } from '../../daemon/operator_methods.js';
import { statusOf } from '../../daemon/status.js';
import { Replica } from '../../distribution/replica.js';
import { Fixture, note, OPENING, upstreams } from '../source/fixture.js';

const SURVEY: Survey = {
  holding: [{ version: 1, processes: 4 }],
  laggards: [],
  unknownProcesses: 0,
  unknown: [],
  unreached: [],
};

/** A process that holds the first of three accepted versions. */
async function laggingProcess(fixture: Fixture): Promise<OperatedParts> {
  const source = fixture.source();
  await source.submit(OPENING, fixture.deadline);
  await source.submit(note('more', { add: upstreams('bookings') }), fixture.deadline);
  await source.withdraw('opening', 'omar', fixture.deadline);
  const replica = new Replica();
  const [first] = await fixture.records();
  replica.apply([first!.version]);
  const surveyor = { survey: async () => SURVEY };
  return {
    source,
    replica,
    surveyor,
    clock: fixture.clock,
  } as unknown as OperatedParts;
}

describe('statusOf', () => {
  it('lists versions that no process holds yet, and the versions of one release note', async () => {
    using fixture = new Fixture();
    const process = await laggingProcess(fixture);
    const all = await statusOf(process);
    const opening = await statusOf(process, 'opening');
    expect([all.head, all.isLogRead]).to.deep.equal([3, true]);
    expect(all.versions.map(({ number }) => number)).to.deep.equal([3, 2, 1]);
    expect(opening.versions).toMatchSnapshot();
  });

  // Guards against presenting the versions that a process holds as the log while the platform is
  // unavailable: a later version may have been accepted.
  it('falls back to the versions that the process holds, marked as such', async () => {
    using fixture = new Fixture();
    const process = await laggingProcess(fixture);
    fixture.store.faults.down = true;
    const answers = [await statusOf(process), await statusOf(process, 'opening')];
    expect(answers).toMatchSnapshot();
  });
});
