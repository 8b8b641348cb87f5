import { Agent } from 'node:http';
import * as fc from 'fast-check';
import { expect } from 'chai';
import { type ConductName } from '../../standins/upstream_conduct.js';
import { type Answer, Path } from './path.js';

const SEED = 3;
const RUNS = 25;

interface Asked {
  readonly conduct: ConductName;
  readonly path: '/menus/1' | '/seats/1' | '/short';
  readonly bytes: number;
  readonly isPosted: boolean;
}

const conduct = fc.constantFrom<ConductName>(
  'whole',
  'cut-length',
  'cut-chunked',
  'break',
  'shed',
  'forge',
  'twice',
  'early',
);
const asked: fc.Arbitrary<Asked> = fc.record({
  conduct: fc.oneof(
    { weight: 2, arbitrary: fc.constant<ConductName>('whole') },
    { weight: 3, arbitrary: conduct },
  ),
  path: fc.constantFrom('/menus/1', '/seats/1', '/short'),
  bytes: fc.constantFrom(0, 1, 70_000),
  isPosted: fc.boolean(),
});

/** What a caller may hold against an answer; undefined if nothing. */
function fault(id: string, runs: number, { path, isPosted }: Asked, answer: Answer | undefined) {
  const mayRepeat = !path.startsWith('/seats') && !isPosted;
  if (runs > 1 && !mayRepeat) return 'run twice';
  if (!answer) return undefined;
  const verdict = answer.headers['barleyhaven-verdict'];
  if (verdict === 'not-run' && runs > 0) return 'called not run, but it ran';
  if (verdict === 'ran' && runs === 0) return 'called run, but it did not';
  const whose = answer.headers['x-request'];
  if (verdict === 'ran' && whose !== id) return `got the answer to ${String(whose)}`;
  const length = answer.headers['content-length'];
  const isShort = length !== undefined && answer.body.length !== Number(length);
  return isShort ? 'got a part that looks whole' : undefined;
}

describe('random faults of upstreams', () => {
  // Many callers at once, over connections that are used again, meet upstreams that cut, break,
  // shed, forge and answer early or twice. Whatever happens: each answer belongs to its request
  // and is whole, "not run" is true, and a booking runs once at most.
  it('let every answer be whole, and its own, and every verdict be true', async () => {
    let round = 0;
    const property = fc.asyncProperty(
      fc.array(asked, { minLength: 5, maxLength: 20 }),
      async (requests) => {
        await using path = await Path.start(3);
        const agent = new Agent({ keepAlive: true, maxSockets: 4 });
        round += 1;
        const faults = await Promise.all(
          requests.map(async (request, index) => {
            const id = `${round}-${index}`;
            const headers = { 'x-conduct': request.conduct, 'x-request': id };
            const method = request.isPosted ? 'POST' : 'GET';
            const body = request.isPosted ? Buffer.alloc(request.bytes, 'b') : undefined;
            const answer = await path
              .ask({ path: request.path, method, headers, body, agent })
              .catch(() => undefined);
            return fault(id, path.runs(id), request, answer);
          }),
        );
        agent.destroy();
        expect(faults.filter((found) => found !== undefined)).to.deep.equal([]);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  });

  // Endpoints begin to leave one after the other while callers go on. From the moment at which a
  // guard knows, its upstream begins nothing more, and no caller loses anything by it.
  it('begin nothing after their drain', async () => {
    await using path = await Path.start(3);
    const [first, second] = path.stations;
    const late: string[] = [];
    for (const leaving of [first!, second!]) {
      const answers = Array.from({ length: 20 }, (_, index) =>
        path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': `a${index}` } }),
      );
      leaving.guard.leave();
      const statuses = new Set((await Promise.all(answers)).map(({ status }) => status));
      expect(statuses).to.deep.equal(new Set([200]));
      leaving.upstream.on('run', (id: string) => late.push(id));
    }
    const ids = Array.from({ length: 20 }, (_, index) => `late-${index}`);
    const answers = await Promise.all(
      ids.map((id) => path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': id } })),
    );
    expect(answers.every(({ status }) => status === 200)).to.equal(true);
    expect(late).to.deep.equal([]);
  });
});
