import { once } from 'node:events';
import { createServer, request, type Server } from 'node:http';
import { expect } from 'chai';
import { sendRequest, type HttpResponse } from '../../bench/http_client.js';
import { Claims } from '../../claims/claims.js';
import { Guard } from '../../requests/guard.js';
import { MAX_OUTCOME_BODY_BYTES } from '../../claims/outcome.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { MachineClock } from '../../runtime/clock.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { SeededRandom } from '../../runtime/random.js';
import { listen, LOOPBACK, closeServer } from '../../standins/listen.js';
import { PlatformStore } from '../../standins/platform_store.js';

const clock = new MachineClock();

describe('a request with a key at the guard', () => {
  let owned: ResourceStack;
  let store: PlatformStore;
  let upstream: Server;
  let upstreamPort: number;
  let bodies: string[];
  let answerBytes: number;

  beforeEach(async () => {
    owned = new ResourceStack();
    store = new PlatformStore(clock);
    bodies = [];
    answerBytes = 10;
    upstream = createServer((incoming, response) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('end', () => {
        bodies.push(Buffer.concat(chunks).toString());
        upstream.emit('run');
        response.writeHead(201, { location: '/seats/12', 'set-cookie': 'not-kept' });
        response.end('x'.repeat(answerBytes));
      });
    });
    upstreamPort = await listen(upstream);
    owned.use({ [Symbol.asyncDispose]: () => closeServer(upstream) });
  });

  afterEach(() => owned[Symbol.asyncDispose]());

  /** Starts a guard beside the upstream; several share the store, as data centres do. */
  async function guardOf(instance: string): Promise<number> {
    const random = new SeededRandom(instance.length);
    const guard = owned.use(new Guard(clock));
    guard.claims = new Claims(new SingleClaims(store, clock, random), instance, clock, random);
    guard.announce({
      upstream: 'bookings',
      state: 'ready',
      slots: 2,
      host: LOOPBACK,
      port: upstreamPort,
    });
    return listen(guard.server);
  }

  function headers() {
    return {
      'barleyhaven-upstream': 'bookings',
      'barleyhaven-claim': 'seats',
      'barleyhaven-remaining-ms': '5000',
      'idempotency-key': 'k-1',
    };
  }

  function book(port: number, body = 'seat=12'): Promise<HttpResponse> {
    return sendRequest({ port, path: '/seats', method: 'POST', headers: headers(), body });
  }

  async function bookUntil(port: number, status: number): Promise<HttpResponse> {
    for (;;) {
      const answer = await book(port);
      if (answer.status === status) return answer;
      await clock.sleepUntil(clock.now() + 5);
    }
  }

  function summaryOf({ status, headers: got, body }: HttpResponse): unknown {
    const names = ['barleyhaven-verdict', 'barleyhaven-reason', 'barleyhaven-replayed'];
    const kept = ['location', 'set-cookie', 'retry-after', ...names];
    return { status, body, ...Object.fromEntries(kept.map((name) => [name, got[name]])) };
  }

  // Guards against a claim that is held until its deadline, and an outcome that is lost, for the body
  // of an answer that has none.
  it('keeps the outcome of an answer without content that declares a length', async () => {
    upstream.removeAllListeners('request').on('request', (incoming, response) => {
      incoming.resume();
      response.writeHead(204, { 'content-length': 2 }).end();
    });
    const port = await guardOf('a');
    const answers = [await book(port), await book(port)];
    const seen = answers.map(({ status, headers: got }) => [status, got['barleyhaven-replayed']]);
    expect(seen).to.deep.equal([
      [204, undefined],
      [204, 'true'],
    ]);
  });

  it('runs once, and is replayed through another process', async () => {
    const [arima, amman] = [await guardOf('arima'), await guardOf('amman-1')];
    const first = await book(arima);
    const again = await bookUntil(amman, 201);
    const otherBody = await book(amman, 'seat=13');
    expect([first, again, otherBody].map(summaryOf)).toMatchSnapshot();
    expect(bodies).to.deep.equal(['seat=12']);
  });

  /*
   * The caller disconnects while the upstream runs its booking. If the answer were not read to its
   * end, the outcome would be lost and the repeat refused.
   */
  it('replays the outcome to a caller that disconnected and sent the request again', async () => {
    const port = await guardOf('arima');
    const disconnecting = request({ host: LOOPBACK, port, path: '/seats', method: 'POST' });
    for (const [name, value] of Object.entries(headers())) disconnecting.setHeader(name, value);
    disconnecting.on('error', () => {});
    disconnecting.end('seat=12');
    await once(upstream, 'run');
    disconnecting.destroy();
    const again = await bookUntil(port, 201);
    expect(again.headers['barleyhaven-replayed']).to.equal('true');
    expect(bodies).to.deep.equal(['seat=12']);
  });

  /*
   * The upstream's port refuses connections. If the claim were not released before the caller sees
   * not-run, its retry through another process would be refused.
   */
  it('releases the claim when the upstream cannot be reached', async () => {
    const [arima, amman] = [await guardOf('arima'), await guardOf('amman-1')];
    await closeServer(upstream);
    const refused = await book(arima);
    upstream.listen(upstreamPort, LOOPBACK);
    await once(upstream, 'listening');
    expect(refused.headers['barleyhaven-verdict']).to.equal('not-run');
    expect((await book(amman)).status).to.equal(201);
  });

  it('does not replay a part of an answer that was too large to keep', async () => {
    answerBytes = MAX_OUTCOME_BODY_BYTES + 1;
    const port = await guardOf('arima');
    expect((await book(port)).body).to.have.length(answerBytes);
    expect(summaryOf(await book(port))).toMatchSnapshot();
    expect(bodies).to.have.length(1);
  });

  it('is refused as not run while the store is down', async () => {
    store.faults.down = true;
    expect(summaryOf(await book(await guardOf('arima')))).toMatchSnapshot();
    expect(bodies).to.deep.equal([]);
  });
});
