import { createServer, type IncomingMessage, type Server } from 'node:http';
import { expect } from 'chai';
import { sendRequest, type HttpResponse } from '../../bench/http_client.js';
import { type Bulletin, type EndpointState } from '../../contracts.js';
import { CrashDetector } from '../../quarantine/crash_detector.js';
import { Guard } from '../../requests/guard.js';
import { Quarantine } from '../../quarantine/quarantine.js';
import { MachineClock } from '../../runtime/clock.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { SeededRandom } from '../../runtime/random.js';
import { listen, LOOPBACK, closeServer } from '../../standins/listen.js';

const clock = new MachineClock();
const POISON = 'seat=poison';
/** Its requests are harmless, whatever their body. */
const HARMLESS_CALLER = 'listings';
const INNOCENT = 'seat=12';
const MAX_PORT = 65_535;

/** A guard with its upstream instance, which crashes on the body `POISON`. */
interface GuardedUpstream {
  readonly port: number;
  readonly quarantine: Quarantine;
  /** Resolves when the upstream has received a request that it does not respond to. */
  readonly slowArrived: Promise<void>;
  readonly announce: (state: EndpointState, port?: number) => void;
}

function callerOf({ headers }: Pick<IncomingMessage, 'headers'>): string {
  return String(headers['x-caller'] ?? '');
}

describe('CrashDetector', () => {
  let owned: ResourceStack;
  let guards: GuardedUpstream[];
  let published: (() => void) | undefined;
  let beforeDeath: () => void;

  beforeEach(() => {
    owned = new ResourceStack();
    guards = [];
    beforeDeath = () => {};
  });

  afterEach(() => owned[Symbol.asyncDispose]());

  /** Starts guards whose quarantines exchange bulletins at once. */
  async function startGuards(count: number): Promise<void> {
    for (let index = 0; index < count; index++) guards.push(await startGuard(index));
  }

  async function startGuard(index: number): Promise<GuardedUpstream> {
    let arrived = () => {};
    const slowArrived = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const upstream = crashingUpstream(() => arrived());
    const upstreamPort = await listen(upstream);
    owned.use({ [Symbol.asyncDispose]: () => closeServer(upstream) });
    const guard = owned.use(new Guard(clock));
    const quarantine = new Quarantine(clock, new SeededRandom(index), broadcast);
    guard.crashDetector = new CrashDetector(quarantine, clock, callerOf);
    const announce = (state: EndpointState, announcedPort = upstreamPort) => {
      const endpoint = { upstream: 'bookings', state, slots: 8 };
      guard.announce({ ...endpoint, host: LOOPBACK, port: announcedPort });
    };
    announce('ready');
    return { port: await listen(guard.server), quarantine, slowArrived, announce };
  }

  function broadcast(bulletin: Bulletin): void {
    for (const { quarantine } of guards) quarantine.merge(bulletin);
    published?.();
  }

  /** An upstream that responds, hangs or crashes, depending on the body. */
  function crashingUpstream(arrived: () => void): Server {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString();
        if (body === POISON && callerOf(request) !== HARMLESS_CALLER) {
          beforeDeath();
          void closeServer(server);
        } else if (body === 'slow') arrived();
        else response.end('booked');
      });
    });
    return server;
  }

  function book(
    { port }: Pick<GuardedUpstream, 'port'>,
    body: string,
    caller = '',
  ): Promise<HttpResponse> {
    const headers = {
      'barleyhaven-upstream': 'bookings',
      'barleyhaven-remaining-ms': '5000',
      'x-caller': caller,
    };
    return sendRequest({ port, path: '/seats', method: 'POST', headers, body });
  }

  /** Sends the poison request and waits until the death is known. */
  async function crashUpstream(target: GuardedUpstream): Promise<string> {
    const known = new Promise<void>((resolve) => {
      published = resolve;
    });
    const answer = await book(target, POISON);
    await known;
    return verdictOf(answer);
  }

  function verdictOf({ headers }: HttpResponse): string {
    const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason = '-' } = headers;
    return `${String(verdict)} ${String(reason)}`;
  }

  // Guards against a booking that crashes one upstream after the other: after two deaths it is refused
  // before it reaches the third, which goes on with others.
  it('refuses a request with a crashing body before it reaches a third upstream', async () => {
    await startGuards(3);
    const [first, second, third] = guards;
    const seen = [await crashUpstream(first!), await crashUpstream(second!)];
    seen.push(verdictOf(await book(third!, POISON)), verdictOf(await book(third!, INNOCENT)));
    expect(seen).toMatchSnapshot();
  });

  // Guards against a request that crashes one upstream after the other while another caller's harmless
  // ones have its path and body, and against the refusal of these.
  it('tells requests of the same content apart by their callers', async () => {
    await startGuards(3);
    const [first, second, third] = guards;
    const harmless = async () => verdictOf(await book(third!, POISON, HARMLESS_CALLER));
    const seen = [await harmless(), await crashUpstream(first!), await harmless()];
    seen.push(await crashUpstream(second!), await harmless());
    seen.push(verdictOf(await book(third!, POISON)), await harmless());
    expect(seen).toMatchSnapshot();
  });

  // Guards against a crash that goes unnoticed because its upstream is draining: in a rolling restart
  // that could happen to each one.
  it('records a death during draining with all requests in flight', async () => {
    await startGuards(2);
    const [leaving, other] = guards;
    const slow = book(leaving!, 'slow');
    await leaving!.slowArrived;
    beforeDeath = () => leaving!.announce('draining');
    await crashUpstream(leaving!);
    expect(verdictOf(await slow)).to.match(/^may-have-run/);
    const [death] = other!.quarantine.snapshot().deaths;
    expect(death!.suspects).to.have.length(2);
  });

  // Guards against the end of the process, with all requests in flight, by one request to an instance that
  // has announced a port that cannot exist.
  it('survives a request to an address that cannot exist', async () => {
    await startGuards(1);
    const [guard] = guards;
    guard!.announce('ready', MAX_PORT + 1);
    expect(verdictOf(await book(guard!, INNOCENT))).to.equal('may-have-run failed');
    await new Promise(setImmediate);
    guard!.announce('ready');
    expect(verdictOf(await book(guard!, INNOCENT))).to.equal('ran -');
  });

  // Guards against suspicion for a single closed connection: the caller sees may-have-run, but a new
  // connection is accepted, so nothing has crashed.
  it('does not take a broken connection alone for a crash', async () => {
    await startGuards(1);
    const quarantine = new Quarantine(clock, new SeededRandom(1), () => {});
    let probed = 0;
    const crashDetector = new CrashDetector(quarantine, clock, undefined, async () => {
      probed += 1;
      return false;
    });
    const breaking = new Guard(clock);
    owned.use(breaking).crashDetector = crashDetector;
    const upstream = createServer((request) => request.socket.destroy());
    const port = await listen(upstream);
    owned.use({ [Symbol.asyncDispose]: () => closeServer(upstream) });
    const endpoint = { upstream: 'bookings', state: 'ready', slots: 8 } as const;
    breaking.announce({ ...endpoint, host: LOOPBACK, port });
    const answer = await book({ port: await listen(breaking.server) }, INNOCENT);
    expect(verdictOf(answer)).to.equal('may-have-run connection');
    await new Promise(setImmediate);
    expect([probed, quarantine.isIdle]).to.deep.equal([1, true]);
  });
});
