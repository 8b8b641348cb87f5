import { expect } from 'chai';
import { Resource } from '../../contracts.js';
import { MachineClock } from '../../runtime/clock.js';
import { EndlessUpstream, type StreamName, STREAMS } from '../../standins/endless_upstream.js';
import { LOOPBACK } from '../../standins/listen.js';
import { TestPath } from './test_path.js';

/** `ENDLESS_MS` sets a longer time by hand. */
const { ENDLESS_MS = 600 } = process.env;
/** How long requests are sent, in milliseconds. */
const DURATION_MS = Number(ENDLESS_MS);
const CONCURRENCY = 40;
const TIMEOUT_MS = 400;
/** Time after the timeout by which a caller has a final answer, in milliseconds. */
const ANSWER_AFTER_MS = 500;
const OTHERS_EVERY_MS = 20;
const BODY_MS = 100;

const resources = [
  { kind: 'upstream', name: 'endless' },
  {
    kind: 'route',
    name: 'endless',
    pathPrefix: '/endless',
    upstream: 'endless',
    timeoutMs: TIMEOUT_MS,
    limit: 'wide',
  },
  { kind: 'limit', name: 'wide', slots: CONCURRENCY, queue: CONCURRENCY },
].map((resource) => Resource.parse(resource));

/** How the requests to the faulty instance and those of others ended. */
interface Outcome {
  readonly endings: Readonly<Record<string, number>>;
  readonly late: number;
  readonly unserved: number;
}

async function play(path: TestPath, upstream: EndlessUpstream): Promise<Outcome> {
  const clock = new MachineClock();
  const endings: Record<string, number> = {};
  let [late, unserved] = [0, 0];
  const until = clock.now() + DURATION_MS;
  const askAgain = async () => {
    while (clock.now() < until) {
      const startedAt = clock.now();
      const ending = await path.ask({ path: '/endless/1' }).then(
        ({ status, body }) => (status === 200 ? `200 ${body.length}` : String(status)),
        () => 'cut',
      );
      endings[ending] = (endings[ending] ?? 0) + 1;
      if (clock.now() - startedAt > TIMEOUT_MS + ANSWER_AFTER_MS) late += 1;
    }
  };
  const askOther = async () => {
    const answer = await path.ask({ path: '/menus/1' }).catch(() => undefined);
    if (answer?.status !== 200) unserved += 1;
  };
  const others: Promise<void>[] = [];
  const sendOthers = async () => {
    while (clock.now() < until) {
      others.push(askOther());
      await clock.sleepUntil(clock.now() + OTHERS_EVERY_MS);
    }
  };
  await Promise.all([sendOthers(), ...Array.from({ length: CONCURRENCY }, askAgain)]);
  await Promise.all(others);
  expect(upstream.opened).to.be.greaterThan(0);
  return { endings, late, unserved };
}

async function start(name: StreamName, intervalMs: number) {
  const path = await TestPath.start(2);
  path.configuration = path.configuration.next({ put: resources, remove: [] });
  const upstream = await EndlessUpstream.start(name, intervalMs);
  const [{ guard, name: instance }] = path.endpoints as [(typeof path.endpoints)[0]];
  const endpoint = { upstream: 'endless', state: 'ready', slots: CONCURRENCY } as const;
  guard.announce({ ...endpoint, host: LOOPBACK, port: upstream.port });
  const member = path.roster.get(instance)!;
  path.roster.merge([{ ...member, sequence: member.sequence + 1, endpoint }]);
  return { path, upstream };
}

describe('bytes without end from an upstream instance', function endless() {
  this.timeout(60_000 + 10 * DURATION_MS);

  // Guards against an instance whose bytes keep callers beyond their timeout, hold slots and memory,
  // and slow down the requests of others; and against any of it being taken for an answer.
  for (const name of Object.keys(STREAMS) as StreamName[]) {
    for (const [pace, intervalMs] of [
      ['at full speed', 0],
      ['slowly', BODY_MS],
    ] as const) {
      it(`end with the timeout and cost others nothing: ${name}, ${pace}`, async () => {
        const { path, upstream } = await start(name, intervalMs);
        await using ownedPath = path;
        await using ownedUpstream = upstream;
        const { endings, late, unserved } = await play(ownedPath, ownedUpstream);
        const allowed = name === 'noise after an answer' ? ['200 2'] : [];
        const successes = Object.keys(endings).filter((ending) => ending.startsWith('200'));
        expect({ late, unserved, successes }).to.deep.equal({
          late: 0,
          unserved: 0,
          successes: allowed.filter((ending) => ending in endings),
        });
        const clock = new MachineClock();
        await clock.sleepUntil(clock.now() + ANSWER_AFTER_MS);
        expect(upstream.open.size, 'open channels').to.equal(0);
      });
    }
  }
});
