import { once } from 'node:events';
import { Agent, request } from 'node:http';
import FakeTimers from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { PROGRESS_MS } from '../../requests/exchange.js';
import { MachineClock } from '../../runtime/clock.js';
import { type ConductName, conductOf } from '../../standins/upstream_conduct.js';
import { type Answer, Path } from './path.js';

/** The machine's clock, with leaps forward. */
class HeldClock extends MachineClock {
  #passed = 0;

  override now(): number {
    return super.now() + this.#passed;
  }

  pass(ms: number): void {
    this.#passed += ms;
  }
}

/** Timers that stand still until they are told to move; the sockets stay real. */
function installTimers() {
  return FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
}

function disposable(value: Agent) {
  return { value, [Symbol.dispose]: () => value.destroy() };
}

/** What a caller can tell of an answer, without what differs from run to run. */
function told({ status, headers, body }: Answer) {
  const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason } = headers;
  return { status, verdict, reason, retryAfter: headers['retry-after'], body };
}

const conduct = (name: ConductName, id = name) => ({ 'x-conduct': name, 'x-request': id });

describe('Entry', () => {
  describe('whole answers', () => {
    it('carries a request and its answer, and says that it ran', async () => {
      await using path = await Path.start();
      const headers = { 'x-request': 'a' };
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      expect(told(answer)).toMatchSnapshot();
      const internal = Object.keys(answer.headers).filter((name) => name.startsWith('barleyhaven'));
      expect(internal).to.deep.equal(['barleyhaven-verdict']);
    });

    // The upstream instance dies in the middle of an answer. Were the caller's answer ended
    // cleanly, half a guest list would look whole. So its connection is broken off as well,
    // whether the answer announced its length or came in chunks.
    for (const name of ['cut-length', 'cut-chunked'] as const) {
      it(`is cut visibly when the upstream cuts it: ${name}`, async () => {
        await using path = await Path.start();
        const outcome = await path
          .ask({ path: '/menus/1', headers: conduct(name) })
          .then(told, (error: NodeJS.ErrnoException) => error.code);
        expect(outcome).to.equal('ECONNRESET');
        expect(path.runs(name)).to.equal(1);
      });
    }

    // The answer has no length, and its connection is reset before its end. Node reports the end
    // of such an answer like that of a whole one, after the error of its request.
    it('is cut visibly when an answer without a length is reset', async () => {
      await using path = await Path.start();
      const outcome = await path
        .ask({ path: '/menus/1', headers: conduct('unframed-reset') })
        .then(told, (error: NodeJS.ErrnoException) => error.code);
      expect(outcome).to.equal('ECONNRESET');
    });

    it('is whole when an answer without a length ends with its connection', async () => {
      await using path = await Path.start();
      const answer = await path.ask({ path: '/menus/1', headers: conduct('unframed') });
      expect([answer.status, answer.body]).to.deep.equal([200, 'part']);
    });

    // The instance begins an answer, and then nothing moves any more: the connection has gone
    // silent. Without a progress deadline the caller would hang for good, and its slot with it.
    it('is cut when nothing moves any more', async () => {
      await using path = await Path.start();
      const clock = installTimers();
      try {
        const sent = request({ port: path.port, path: '/menus/1', headers: conduct('stall') });
        const answered = once(sent, 'response');
        sent.on('error', () => {}).end();
        const [answer] = (await answered) as [NodeJS.ReadableStream];
        await once(answer, 'data');
        const broken = once(answer, 'error');
        clock.tick(PROGRESS_MS);
        expect(((await broken) as [NodeJS.ErrnoException])[0].code).to.equal('ECONNRESET');
      } finally {
        clock.uninstall();
      }
    });

    // A caller takes none of a large answer for a while. Without back-pressure the whole of it
    // would pile up in the two processes between; the upstream would be done with it at once.
    it('streams a large answer no faster than its caller takes it', async () => {
      await using path = await Path.start();
      let isDone = false;
      path.stations[0]!.upstream.on('answered', (id) => {
        isDone ||= id === 'L';
      });
      const bytes = 64 * 1024 * 1024;
      const headers = { 'x-request': 'L', 'x-bytes': bytes };
      const sent = request({ port: path.port, path: '/menus/large', headers, agent: false });
      sent.end();
      const [answer] = (await once(sent, 'response')) as [NodeJS.ReadableStream];
      for (let turn = 0; turn < 100; turn++) await path.ask({ path: '/menus/small' });
      expect(isDone).to.equal(false);
      let received = 0;
      for await (const chunk of answer) received += (chunk as Buffer).length;
      expect(received).to.equal(bytes);
    });

    it('passes trailers on, but none that only barleyhaven may set', async () => {
      await using path = await Path.start();
      const answer = await path.ask({ path: '/menus/1', headers: conduct('trailers') });
      expect(answer.trailers).to.deep.equal({ 'x-sum': '42' });
      expect(answer.body).to.equal('body');
    });

    for (const [method, status] of [
      ['HEAD', 200],
      ['GET', 204],
      ['GET', 304],
    ] as const) {
      it(`ends an answer that has no body: ${method} ${status}`, async () => {
        await using path = await Path.start();
        using agent = disposable(new Agent({ keepAlive: true, maxSockets: 1 }));
        const headers = { 'x-status': status };
        const options = { path: '/menus/1', method, headers, agent: agent.value };
        const answers = [await path.ask(options), await path.ask(options)];
        expect(answers.map((answer) => [answer.status, answer.body])).to.deep.equal([
          [status, ''],
          [status, ''],
        ]);
      });
    }
  });

  describe('verdicts', () => {
    // An upstream that claims "not run" for what it ran would make its caller book twice.
    it('lets no upstream speak for barleyhaven', async () => {
      await using path = await Path.start();
      const answer = await path.ask({ path: '/menus/1', headers: conduct('forge') });
      expect(told(answer)).toMatchSnapshot();
      expect(path.runs('forge')).to.equal(1);
    });

    // The connection breaks after the booking was handed over. It may have run, so it is neither
    // repeated nor called "not run"; the refusal comes at once.
    it('does not repeat what may have run and may not be repeated', async () => {
      await using path = await Path.start(2);
      const headers = conduct('break');
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'x' });
      expect(told(answer)).toMatchSnapshot();
      expect(path.runs('break')).to.equal(1);
    });

    it('repeats what may have run where that is allowed', async () => {
      await using path = await Path.start(2);
      path.stations[0]!.upstream.conduct = conductOf('break');
      const answers = await Promise.all(
        ['a', 'b', 'c', 'd'].map((id) =>
          path.ask({ path: '/menus', headers: { 'x-request': id } }),
        ),
      );
      expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
      const [first, second] = path.stations;
      expect(first!.upstream.runs.size).to.be.greaterThan(0);
      expect(second!.upstream.runs.size).to.equal(4);
    });

    // The first attempt may have run, the second is refused as "not run". Told to the caller,
    // that would be false of the request as a whole.
    it('keeps the strongest verdict of all attempts', async () => {
      await using path = await Path.start(2);
      for (const { upstream } of path.stations) {
        upstream.conduct = conductOf('break');
        upstream.once('run', () => {
          for (const { guard } of path.stations) guard.leave();
        });
      }
      const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'a' } });
      expect(told(answer)).toMatchSnapshot();
      expect(path.runs('a')).to.equal(1);
    });

    // One guard has gone, and the other leaves: nobody can have run the booking, so it is sent to
    // the next in line, with its body, and only the third gets it.
    it('sends what has not run elsewhere, with its body', async () => {
      await using path = await Path.start(3);
      path.stations[0]!.guard.server.close();
      path.stations[1]!.guard.leave();
      const headers = { 'x-request': 'a' };
      const answer = await path.ask({ path: '/seats', method: 'POST', headers, body: 'seat 12' });
      expect(told(answer)).toMatchSnapshot();
      expect(path.runs('a')).to.equal(1);
    });

    // An upstream instance dies and cannot say so. The first connection that it refuses tells its
    // guard; the booking that met it has not run, and is sent to the other instance.
    it('tells of an upstream instance at whose port nobody listens', async () => {
      await using path = await Path.start(2);
      const refused: string[] = [];
      for (const { name, guard } of path.stations) guard.onRefused = () => refused.push(name);
      await path.stations[0]!.upstream.crash();
      const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
      const answers = await Promise.all(
        ids.map((id) => path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': id } })),
      );
      expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200]));
      expect(new Set(refused)).to.deep.equal(new Set(['endpoint-0']));
      expect(path.stations[1]!.upstream.runs.size).to.equal(ids.length);
    });

    // A large upload meets a guard that leaves. The body waits until a guard asks for it, so the
    // refusal leaves it untouched and the other guard gets all of it.
    it('sends an upload elsewhere as long as nobody has asked for its body', async () => {
      await using path = await Path.start(2);
      path.stations[0]!.guard.leave();
      const body = Buffer.alloc(300_000, 'x');
      const asks = ['a', 'b', 'c'].map((id) =>
        path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': id }, body }),
      );
      const answers = await Promise.all(asks);
      expect(answers.map((answer) => answer.status)).to.deep.equal([200, 200, 200]);
      expect(answers.every((answer) => answer.body.includes('"received":300000'))).to.equal(true);
    });

    it('says at once that nobody serves the request, and when to come back', async () => {
      await using path = await Path.start();
      expect(told(await path.ask({ path: '/nobody' }))).toMatchSnapshot();
    });

    it('tells of an upstream that does not answer in time', async () => {
      await using path = await Path.start();
      const answer = await path.ask({ path: '/short', headers: conduct('silent') });
      expect(told(answer)).toMatchSnapshot();
    });
  });

  describe('connections', () => {
    // An instance answers twice. The second answer lies in the connection when the next request
    // goes out, and would be taken for the answer to that one.
    it('gives nobody an answer that came unasked', async () => {
      await using path = await Path.start();
      const { upstream } = path.stations[0]!;
      const disconnected = once(upstream, 'disconnected');
      await path.ask({ path: '/menus/1', headers: conduct('twice') });
      await disconnected;
      const next = await path.ask({ path: '/menus/2', headers: { 'x-request': 'next' } });
      expect(next.headers['x-request']).to.equal('next');
    });

    it('passes the going away of a caller on to the upstream', async () => {
      await using path = await Path.start();
      const { upstream } = path.stations[0]!;
      const sent = request({ port: path.port, path: '/menus/1', headers: conduct('silent') });
      const run = once(upstream, 'run');
      sent.on('error', () => {}).end();
      await run;
      const cancelled = once(upstream, 'cancelled');
      sent.destroy();
      expect(await cancelled).to.deep.equal(['silent']);
    });

    // The upstream answers before it has read the upload, and never reads it. The caller gets the
    // answer, and the connection, on which the rest of the upload could still come, is closed.
    it('passes on an answer that comes before the end of the body', async () => {
      await using path = await Path.start();
      const body = Buffer.alloc(1 << 20, 'x');
      const headers = conduct('early');
      const answer = await path.ask({ path: '/seats', method: 'POST', headers, body });
      expect(answer.body).to.equal('early');
      const next = await path.ask({ path: '/seats', method: 'POST', headers: conduct('whole') });
      expect(next.headers['x-request']).to.equal('whole');
    });

    // A connection that has stood idle may have gone silent, or be closing at the other end. A
    // booking sent over it would be lost, with nobody able to tell. So it goes over a new one.
    it('sends what may not be repeated only over a connection that has proved itself', async () => {
      const clock = new HeldClock();
      await using path = await Path.start(1, clock);
      const { upstream } = path.stations[0]!;
      const book = () => path.ask({ path: '/seats', method: 'POST', body: 'x' });
      await book();
      await book();
      expect(upstream.connections).to.equal(1);
      clock.pass(2_000);
      await path.ask({ path: '/menus' });
      expect(upstream.connections).to.equal(1);
      clock.pass(2_000);
      await book();
      expect(upstream.connections).to.equal(2);
    });
  });
});
