import { Agent } from 'node:http';
import * as fc from 'fast-check';
import { expect } from 'chai';
import { type ConductName } from '../../standins/upstream_conduct.js';
import { type Answer, TestPath } from './test_path.js';

const SEED = 3;
const RUNS = 25;

interface GeneratedRequest {
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
const asked: fc.Arbitrary<GeneratedRequest> = fc.record({
  conduct: fc.oneof(
    { weight: 2, arbitrary: fc.constant<ConductName>('whole') },
    { weight: 3, arbitrary: conduct },
  ),
  path: fc.constantFrom('/menus/1', '/seats/1', '/short'),
  bytes: fc.constantFrom(0, 1, 70_000),
  isPosted: fc.boolean(),
});

/** What is wrong with a response from the caller's view; undefined if nothing. */
function violationOf(
  id: string,
  runs: number,
  { path, isPosted }: GeneratedRequest,
  answer: Answer | undefined,
) {
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
  // Guards against swapped or truncated responses, false verdicts and bookings that run twice, when
  // upstreams cut, break, shed, forge, or respond early or twice on reused connections.
  it('never mix up or truncate responses or falsify verdicts', async () => {
    let round = 0;
    const property = fc.asyncProperty(
      fc.array(asked, { minLength: 5, maxLength: 20 }),
      async (requests) => {
        await using path = await TestPath.start(3);
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
            return violationOf(id, path.runs(id), request, answer);
          }),
        );
        agent.destroy();
        expect(faults.filter((found) => found !== undefined)).to.deep.equal([]);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  });

  // Guards against requests started on an instance whose guard is shutting down, and against failures
  // for callers during such shutdowns.
  it('start no request on a guard that is shutting down', async () => {
    await using path = await TestPath.start(3);
    const [first, second] = path.endpoints;
    const late: string[] = [];
    for (const leaving of [first!, second!]) {
      const answers = Array.from({ length: 20 }, (_, index) =>
        path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': `a${index}` } }),
      );
      leaving.guard.beginShutdown();
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
