import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { type Pulled, Upstream } from '../../contracts.js';
import { PullResponder } from '../../distribution/pull_responder.js';
import { Replica } from '../../distribution/replica.js';
import { FakeTime } from '../fake_time.js';
import { TestFleet } from './test_fleet.js';

const PULLS = 300;

function replicaAt(number: number, about = ''): Replica {
  const replica = new Replica();
  let before = Configuration.empty;
  for (let count = 1; count <= number; count++) {
    const upstream = Upstream.parse({ kind: 'upstream', name: `u-${count}`, about });
    const change = { put: [upstream], remove: [] };
    const next = before.next(change);
    const { digest } = next;
    replica.apply([
      { number: count, parent: before.digest, digest, note: 'n', acceptedAt: 0, change },
    ]);
    before = next;
  }
  return replica;
}

function isBusy({ busyMs }: Pulled): boolean {
  return busyMs !== undefined;
}

describe('PullResponder', () => {
  // Guards against 300 simultaneous pulls that delay the responder's other messages: it has to
  // answer a bounded number, tell the others at once to retry, and have room for them then.
  it('answers a bounded number of pulls and rejects the others at once', async () => {
    using time = new FakeTime();
    const responder = new PullResponder(replicaAt(3), time.clock);
    const answers: Pulled[] = [];
    for (let count = 0; count < PULLS; count++) {
      void responder.answer({ after: 0 }).then((answer) => answers.push(answer));
    }
    await time.advance(1);
    const counts = () => ({
      served: answers.filter((answer) => !isBusy(answer)).length,
      busy: answers.filter(isBusy).length,
    });
    const atOnce = counts();
    await time.advance(200);
    const later = counts();
    expect([atOnce, later]).toMatchSnapshot();
    expect(isBusy(await responder.answer({ after: 0 }))).to.equal(false);
  });

  it('answers with versions if they are kept and fit, and with pages otherwise', async () => {
    using time = new FakeTime();
    const responder = new PullResponder(replicaAt(300, 'x'.repeat(1_500)), time.clock);
    const near = await responder.answer({ after: 298 });
    const far = await responder.answer({ after: 100 });
    const beyond = await responder.answer({ after: 3 });
    const { number, total, resources } = beyond.page!;
    const offset = resources.length;
    const more = await responder.answer({ after: 3, page: { number, offset } });
    expect(near.versions.map((version) => version.number)).to.deep.equal([299, 300]);
    expect([far.versions[0]!.number, far.versions.length < 200]).to.deep.equal([101, true]);
    expect([number, total, offset < total]).to.deep.equal([300, 300, true]);
    expect([more.page!.number, more.page!.offset]).to.deep.equal([300, offset]);
  });

  // Guards against processes that stay behind after their links were down, because their
  // simultaneous pulls are rejected.
  it('lets many processes that reconnect at once catch up', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 12 } });
    const reconnecting = fleet.ranked('arima').slice(6);
    reconnecting.forEach(({ host }) => host.gate.shut());
    for (let count = 0; count < 20; count++) await fleet.accept();
    await fleet.time.advance(6_000);
    reconnecting.forEach(({ host }) => host.gate.open());
    expect(await fleet.time.until(() => fleet.holds(20), 6_000)).to.equal(true);
  });

  // Guards against sending the whole configuration to a process that holds a version that the
  // responder never held.
  it('answers with the difference to an unknown version, and with pages if nearly everything differs', async () => {
    using time = new FakeTime();
    const about = 'x'.repeat(2_000);
    const responder = new PullResponder(replicaAt(700, about), time.clock);
    const summaryAt = (number: number) => [...replicaAt(number, about).current.summary];
    const some = await responder.answer({ after: 20, summary: summaryAt(690) });
    const all = await responder.answer({ after: 20, summary: summaryAt(20) });
    expect([some.difference?.number, some.page]).to.deep.equal([700, undefined]);
    expect([all.difference, all.page?.number]).to.deep.equal([undefined, 700]);
  });
});
