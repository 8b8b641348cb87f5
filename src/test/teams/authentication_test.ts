import { Agent } from 'node:http';
import { expect } from 'chai';
import { type Change, Resource } from '../../contracts.js';
import { type Answer, TestPath } from '../requests/test_path.js';
import { startWithTeams, teamOf, token, valueOf } from './team_path.js';

const KEY = 'maj3nr26tta828m82thh';
const OTHER_KEY = 'qo7-OTHER.key';
const LARGE = 100_000;

const pulo = teamOf('pulo780', [KEY], { priority: 8 });
const rana = teamOf('rana', [OTHER_KEY]);

function summaryOf({ status, headers, body }: Answer) {
  const { date, connection, 'keep-alive': keepAlive, ...rest } = headers;
  return { status, headers: rest, body };
}

function changeOf(put: Change['put'], remove: Change['remove'] = []): Change {
  return { put, remove };
}

describe('keys of teams', () => {
  it('answers 401 to a caller without a known key, on the head alone', async () => {
    const { path, received } = await startWithTeams(pulo);
    await using owned = path;
    const refused = await owned.ask({ path: '/menus/1' });
    expect(summaryOf(refused)).toMatchSnapshot();
    const unknown = await owned.ask({ path: '/menus/1', headers: token('unknown') });
    expect(summaryOf(unknown)).to.deep.equal(summaryOf(refused));
    expect(received).to.deep.equal([]);
  });

  // Guards against callers who learn from the status which routes exist, and against a refusal that
  // is reported although another one comes first.
  it('looks up the route first, and the key before the rules of the route', async () => {
    const keyed = Resource.parse({
      kind: 'route',
      name: 'keyed',
      pathPrefix: '/keyed',
      upstream: 'bookings',
      requireKey: true,
    });
    const { path } = await startWithTeams(pulo);
    await using owned = path;
    owned.configuration = owned.configuration.next(changeOf([keyed]));
    const statuses = [];
    for (const headers of [{}, token(KEY)]) {
      for (const target of ['/absent', '/keyed']) {
        statuses.push((await owned.ask({ path: target, headers })).status);
      }
    }
    expect(statuses).to.deep.equal([404, 401, 404, 428]);
  });

  it('sends the team and its priority on, and never the key', async () => {
    const { path, received } = await startWithTeams(pulo, rana);
    await using owned = path;
    const priorities: unknown[] = [];
    owned.endpoints[0]!.guard.server.prependListener('request', ({ headers }) =>
      priorities.push(headers['barleyhaven-priority']),
    );
    for (const target of ['/menus/1', '/open/1']) {
      for (const headers of [token(KEY), token(OTHER_KEY), token('unknown'), {}]) {
        await owned.ask({ path: target, headers });
      }
    }
    const seen = received.map((request) => [request.url, valueOf(request, 'barleyhaven-team')]);
    expect(seen).to.deep.equal([
      ['/menus/1', 'pulo780'],
      ['/menus/1', 'rana'],
      ['/open/1', 'pulo780'],
      ['/open/1', 'rana'],
      ['/open/1', undefined],
      ['/open/1', undefined],
    ]);
    expect(priorities).to.deep.equal(['8', '5', '8', '2', '2', '2']);
    expect(JSON.stringify(received)).not.to.match(/authorization|token/i);
  });

  // Guards against trailers that carry what is removed from the head, in bodies that are streamed.
  it('removes credentials and the team from trailers', async () => {
    const { path, received } = await startWithTeams(pulo);
    await using owned = path;
    const trailers = `Authorization: Token ${KEY}\r\nBarleyhaven-Team: rana\r\nX-Sum: 4\r\n`;
    const chunk = `${LARGE.toString(16)}\r\n${'x'.repeat(LARGE)}\r\n0\r\n${trailers}\r\n`;
    const head =
      `POST /seats/1 HTTP/1.1\r\nHost: a\r\nAuthorization: token   ${KEY}\r\n` +
      'Trailer: Authorization\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n';
    expect(await owned.raw(head + chunk)).to.match(/^HTTP\/1.1 200 /m);
    expect(received[0]!.trailers).to.deep.equal({ 'x-sum': '4' });
  });

  // Guards against a change for deployments without teams, whose endpoints check credentials.
  it('forwards credentials as before where there are no teams', async () => {
    const { path, received } = await startWithTeams();
    await using owned = path;
    const headers = { authorization: 'Bearer abc' };
    const answer = await owned.ask({ path: '/menus/1', headers });
    expect([answer.status, valueOf(received[0]!, 'authorization')]).to.deep.equal([
      200,
      'Bearer abc',
    ]);
    expect(valueOf(received[0]!, 'barleyhaven-team')).to.equal(undefined);
  });

  // Guards against a key that stays valid for as long as its caller keeps the connection.
  it('uses the configuration in force at the arrival of each request of a connection', async () => {
    const { path, received } = await startWithTeams(pulo, rana);
    await using owned = path;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let connections = 0;
    owned.entry.server.on('connection', () => {
      connections += 1;
    });
    const ask = async () =>
      (await owned.ask({ path: '/menus/1', headers: token(KEY), agent })).status;
    const statuses = [await ask()];
    for (const change of [
      changeOf([teamOf('pulo780', [])]),
      changeOf([teamOf('rana', [OTHER_KEY, KEY])]),
      changeOf([], ['team/rana']),
      changeOf([], ['team/pulo780']),
    ]) {
      owned.configuration = owned.configuration.next(change);
      statuses.push(await ask());
    }
    agent.destroy();
    expect(statuses).to.deep.equal([200, 401, 200, 401, 200]);
    expect(received.map((request) => valueOf(request, 'barleyhaven-team'))).to.deep.equal([
      'pulo780',
      'rana',
      undefined,
    ]);
    expect(connections).to.equal(1);
  });

  it('answers 503 in a process without a configuration, whatever the key', async () => {
    await using path = await TestPath.start(0);
    path.isReady = false;
    const answer = await path.ask({ path: '/menus/1', headers: token(KEY) });
    expect([answer.status, answer.headers['barleyhaven-reason']]).to.deep.equal([503, 'not-ready']);
  });
});
