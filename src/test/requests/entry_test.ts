import { once } from 'node:events';
import { Agent, request } from 'node:http';
import FakeTimers from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { PROGRESS_TIMEOUT_MS } from '../../requests/exchange.js';
import { MachineClock } from '../../runtime/clock.js';
import { type ConductName, conductOf } from '../../standins/upstream_conduct.js';
import { type Answer, TestPath } from './test_path.js';

/** The machine's clock, which can be moved forward. */
class SkippingClock extends MachineClock {
  #offsetMs = 0;

  override now(): number {
    return super.now() + this.#offsetMs;
  }

  advance(ms: number): void {
    this.#offsetMs += ms;
  }
}

/** Fakes the timers only; the sockets stay real. */
function installTimers() {
  return FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
}

function disposable(value: Agent) {
  return { value, [Symbol.dispose]: () => value.destroy() };
}

/** The parts of a response that a caller sees, without those that differ between runs. */
function summaryOf({ status, headers, body }: Answer) {
  const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason } = headers;
  return { status, verdict, reason, retryAfter: headers['retry-after'], body };
}

const conductHeaders = (name: ConductName, id = name) => ({ 'x-conduct': name, 'x-request': id });

describe('Entry', () => {
  describe('complete responses', () => {
    it('forwards a request and its response, with the verdict ran', async () => {
      await using path = await TestPath.start();
      const headers = { 'x-request': 'a' };
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      expect(summaryOf(answer)).toMatchSnapshot();
      const internal = Object.keys(answer.headers).filter((name) => name.startsWith('barleyhaven'));
      expect(internal).to.deep.equal(['barleyhaven-verdict']);
    });

    // Guards against a truncated response that looks complete, with a content length and chunked, when
    // the upstream instance dies in the middle of it.
    for (const name of ['cut-length', 'cut-chunked'] as const) {
      it(`resets the connection to the caller when the upstream cuts the response: ${name}`, async () => {
        await using path = await TestPath.start();
        const outcome = await path
          .ask({ path: '/menus/1', headers: conductHeaders(name) })
          .then(summaryOf, (error: NodeJS.ErrnoException) => error.code);
        expect(outcome).to.equal('ECONNRESET');
        expect(path.runs(name)).to.equal(1);
      });
    }

    // Guards against a truncated response that looks complete: for a reset without a length, Node
    // reports a normal end after the error of the request.
    it('resets the connection to the caller when a response without a length is reset', async () => {
      await using path = await TestPath.start();
      const outcome = await path
        .ask({ path: '/menus/1', headers: conductHeaders('unframed-reset') })
        .then(summaryOf, (error: NodeJS.ErrnoException) => error.code);
      expect(outcome).to.equal('ECONNRESET');
    });

    it('accepts a response without a length that ends with its connection', async () => {
      await using path = await TestPath.start();
      const answer = await path.ask({ path: '/menus/1', headers: conductHeaders('unframed') });
      expect([answer.status, answer.body]).to.deep.equal([200, 'part']);
    });

    // Guards against a dead connection in the middle of a response: without a progress timeout the
    // caller and its slot would hang for ever.
    it('cuts a response that makes no progress', async () => {
      await using path = await TestPath.start();
      const clock = installTimers();
      try {
        const sent = request({
          port: path.port,
          path: '/menus/1',
          headers: conductHeaders('stall'),
        });
        const answered = once(sent, 'response');
        sent.on('error', () => {}).end();
        const [answer] = (await answered) as [NodeJS.ReadableStream];
        await once(answer, 'data');
        const broken = once(answer, 'error');
        clock.tick(PROGRESS_TIMEOUT_MS);
        expect(((await broken) as [NodeJS.ErrnoException])[0].code).to.equal('ECONNRESET');
      } finally {
        clock.uninstall();
      }
    });

    // Guards against a large response being buffered whole in the two processes while its caller does
    // not read it.
    it('applies back-pressure to a large response', async () => {
      await using path = await TestPath.start();
      let isDone = false;
      path.endpoints[0]!.upstream.on('answered', (id) => {
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

    it('forwards trailers except internal ones', async () => {
      await using path = await TestPath.start();
      const answer = await path.ask({ path: '/menus/1', headers: conductHeaders('trailers') });
      expect(answer.trailers).to.deep.equal({ 'x-sum': '42' });
      expect(answer.body).to.equal('body');
    });

    for (const [method, status] of [
      ['HEAD', 200],
      ['GET', 204],
      ['GET', 304],
    ] as const) {
      it(`completes a response without a body: ${method} ${status}`, async () => {
        await using path = await TestPath.start();
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
    // Guards against a booking made twice because its upstream claimed "not run" for it.
    it('strips verdict headers forged by an upstream', async () => {
      await using path = await TestPath.start();
      const answer = await path.ask({ path: '/menus/1', headers: conductHeaders('forge') });
      expect(summaryOf(answer)).toMatchSnapshot();
      expect(path.runs('forge')).to.equal(1);
    });

    // Guards against a booking that runs twice, or is reported as not run, when its connection breaks
    // after it was handed over; the refusal comes at once.
    it('does not resend a non-repeatable request that may have run', async () => {
      await using path = await TestPath.start(2);
      const headers = conductHeaders('break');
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'x' });
      expect(summaryOf(answer)).toMatchSnapshot();
      expect(path.runs('break')).to.equal(1);
    });

    it('resends a repeatable request that may have run', async () => {
      await using path = await TestPath.start(2);
      path.endpoints[0]!.upstream.conduct = conductOf('break');
      const answers = await Promise.all(
        ['a', 'b', 'c', 'd'].map((id) =>
          path.ask({ path: '/menus', headers: { 'x-request': id } }),
        ),
      );
      expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
      const [first, second] = path.endpoints;
      expect(first!.upstream.runs.size).to.be.greaterThan(0);
      expect(second!.upstream.runs.size).to.equal(4);
    });

    // Guards against a false verdict: the first attempt may have run, and the second is refused as
    // "not run".
    it('keeps the strongest verdict of all attempts', async () => {
      await using path = await TestPath.start(2);
      for (const { upstream } of path.endpoints) {
        upstream.conduct = conductOf('break');
        upstream.once('run', () => {
          for (const { guard } of path.endpoints) guard.beginShutdown();
        });
      }
      const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'a' } });
      expect(summaryOf(answer)).toMatchSnapshot();
      expect(path.runs('a')).to.equal(1);
    });

    // Guards against a refusal, or a lost body, of a booking that cannot have run: one guard refuses
    // connections, another is shutting down, and the third gets it.
    it('resends a request that has not run to another endpoint, with its body', async () => {
      await using path = await TestPath.start(3);
      path.endpoints[0]!.guard.server.close();
      path.endpoints[1]!.guard.beginShutdown();
      const headers = { 'x-request': 'a' };
      const answer = await path.ask({ path: '/seats', method: 'POST', headers, body: 'seat 12' });
      expect(summaryOf(answer)).toMatchSnapshot();
      expect(path.runs('a')).to.equal(1);
    });

    // Guards against a crashed instance that still counts as ready: the first refused connection is
    // reported, and the booking, which has not run, is sent to the other instance.
    it('detects an upstream instance that refuses connections', async () => {
      await using path = await TestPath.start(2);
      const refused: string[] = [];
      for (const { name, guard } of path.endpoints)
        guard.onConnectionRefused = () => refused.push(name);
      await path.endpoints[0]!.upstream.crash();
      const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
      const answers = await Promise.all(
        ids.map((id) => path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': id } })),
      );
      expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200]));
      expect(new Set(refused)).to.deep.equal(new Set(['endpoint-0']));
      expect(path.endpoints[1]!.upstream.runs.size).to.equal(ids.length);
    });

    // Guards against an upload that is lost at a guard that is shutting down: the body is not sent
    // before a guard requests it, so it can go to the other guard.
    it('resends an upload while no guard has requested its body', async () => {
      await using path = await TestPath.start(2);
      path.endpoints[0]!.guard.beginShutdown();
      const body = Buffer.alloc(300_000, 'x');
      const asks = ['a', 'b', 'c'].map((id) =>
        path.ask({ path: '/seats', method: 'POST', headers: { 'x-request': id }, body }),
      );
      const answers = await Promise.all(asks);
      expect(answers.map((answer) => answer.status)).to.deep.equal([200, 200, 200]);
      expect(answers.every((answer) => answer.body.includes('"received":300000'))).to.equal(true);
    });

    it('refuses at once, with a retry time, when no endpoint serves the upstream', async () => {
      await using path = await TestPath.start();
      expect(summaryOf(await path.ask({ path: '/nobody' }))).toMatchSnapshot();
    });

    it('reports the deadline when an upstream does not respond in time', async () => {
      await using path = await TestPath.start();
      const answer = await path.ask({ path: '/short', headers: conductHeaders('silent') });
      expect(summaryOf(answer)).toMatchSnapshot();
    });
  });

  describe('connections', () => {
    // Guards against a second, unsolicited response being taken for the response to the next request
    // on its connection.
    it('discards an unsolicited response', async () => {
      await using path = await TestPath.start();
      const { upstream } = path.endpoints[0]!;
      const disconnected = once(upstream, 'disconnected');
      await path.ask({ path: '/menus/1', headers: conductHeaders('twice') });
      await disconnected;
      const next = await path.ask({ path: '/menus/2', headers: { 'x-request': 'next' } });
      expect(next.headers['x-request']).to.equal('next');
    });

    it('cancels the upstream request when the caller disconnects', async () => {
      await using path = await TestPath.start();
      const { upstream } = path.endpoints[0]!;
      const sent = request({
        port: path.port,
        path: '/menus/1',
        headers: conductHeaders('silent'),
      });
      const run = once(upstream, 'run');
      sent.on('error', () => {}).end();
      await run;
      const cancelled = once(upstream, 'cancelled');
      sent.destroy();
      expect(await cancelled).to.deep.equal(['silent']);
    });

    // Guards against a lost early response, and against reuse of its connection, on which the rest of
    // the upload could still arrive.
    it('forwards a response that arrives before the end of the request body', async () => {
      await using path = await TestPath.start();
      const body = Buffer.alloc(1 << 20, 'x');
      const headers = conductHeaders('early');
      const answer = await path.ask({ path: '/seats', method: 'POST', headers, body });
      expect(answer.body).to.equal('early');
      const next = await path.ask({
        path: '/seats',
        method: 'POST',
        headers: conductHeaders('whole'),
      });
      expect(next.headers['x-request']).to.equal('whole');
    });

    // Guards against a booking lost on an idle connection that is dead or being closed, when nobody
    // could tell whether it ran.
    it('sends non-repeatable requests only over new or recently used connections', async () => {
      const clock = new SkippingClock();
      await using path = await TestPath.start(1, clock);
      const { upstream } = path.endpoints[0]!;
      const book = () => path.ask({ path: '/seats', method: 'POST', body: 'x' });
      await book();
      await book();
      expect(upstream.connections).to.equal(1);
      clock.advance(2_000);
      await path.ask({ path: '/menus' });
      expect(upstream.connections).to.equal(1);
      clock.advance(2_000);
      await book();
      expect(upstream.connections).to.equal(2);
    });
  });
});
