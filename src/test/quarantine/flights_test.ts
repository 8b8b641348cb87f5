import { createServer, type Server } from 'node:http';
import { expect } from 'chai';
import { ask, type Answer } from '../../bench/caller.js';
import { type Bulletin, type EndpointState } from '../../contracts.js';
import { Flights } from '../../quarantine/flights.js';
import { Guard } from '../../requests/guard.js';
import { Quarantine } from '../../quarantine/quarantine.js';
import { MachineClock } from '../../runtime/clock.js';
import { Ownership } from '../../runtime/ownership.js';
import { SeededRandom } from '../../runtime/random.js';
import { listen, LOOPBACK, shut } from '../../standins/listen.js';

const clock = new MachineClock();
const POISON = 'seat=poison';
const INNOCENT = 'seat=12';

/** A guard with its upstream instance, which a poisonous body kills. */
interface Station {
  readonly port: number;
  readonly quarantine: Quarantine;
  /** Resolves when a request has arrived that the upstream does not answer. */
  readonly slowArrived: Promise<void>;
  readonly announce: (state: EndpointState) => void;
}

describe('Flights', () => {
  let owned: Ownership;
  let stations: Station[];
  let published: (() => void) | undefined;
  let beforeDeath: () => void;

  beforeEach(() => {
    owned = new Ownership();
    stations = [];
    beforeDeath = () => {};
  });

  afterEach(() => owned[Symbol.asyncDispose]());

  /** Stations that hear each other's bulletins at once. */
  async function open(count: number): Promise<void> {
    for (let index = 0; index < count; index++) stations.push(await station(index));
  }

  async function station(index: number): Promise<Station> {
    let arrived = () => {};
    const slowArrived = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const upstream = mortal(() => arrived());
    const upstreamPort = await listen(upstream);
    owned.use({ [Symbol.asyncDispose]: () => shut(upstream) });
    const guard = owned.use(new Guard(clock));
    const quarantine = new Quarantine(clock, new SeededRandom(index), flood);
    guard.flights = new Flights(quarantine, clock);
    const announce = (state: EndpointState) => {
      const endpoint = { upstream: 'bookings', state, slots: 8 };
      guard.announce({ ...endpoint, host: LOOPBACK, port: upstreamPort });
    };
    announce('ready');
    return { port: await listen(guard.server), quarantine, slowArrived, announce };
  }

  function flood(bulletin: Bulletin): void {
    for (const { quarantine } of stations) quarantine.merge(bulletin);
    published?.();
  }

  /** Answers, waits or dies, as the body says. */
  function mortal(arrived: () => void): Server {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString();
        if (body === POISON) {
          beforeDeath();
          void shut(server);
        } else if (body === 'slow') arrived();
        else response.end('booked');
      });
    });
    return server;
  }

  function book({ port }: Pick<Station, 'port'>, body: string): Promise<Answer> {
    const headers = { 'barleyhaven-upstream': 'bookings', 'barleyhaven-remaining-ms': '5000' };
    return ask({ port, path: '/seats', method: 'POST', headers, body });
  }

  /** Sends the poison and waits until the death is known. */
  async function kill(target: Station): Promise<string> {
    const known = new Promise<void>((resolve) => {
      published = resolve;
    });
    const answer = await book(target, POISON);
    await known;
    return verdictOf(answer);
  }

  function verdictOf({ headers }: Answer): string {
    const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason = '-' } = headers;
    return `${String(verdict)} ${String(reason)}`;
  }

  /*
   * A booking crashes two upstreams, one after the other. Its caller sees may-have-run twice; the
   * third time it is refused before it reaches the third upstream, which lives on and books others.
   */
  it('keeps a request with a poisonous body from the third upstream', async () => {
    await open(3);
    const [first, second, third] = stations;
    const seen = [await kill(first!), await kill(second!)];
    seen.push(verdictOf(await book(third!, POISON)), verdictOf(await book(third!, INNOCENT)));
    expect(seen).toMatchSnapshot();
  });

  /*
   * The upstream is leaving and finishes its last requests when one of them kills it. That is a
   * death like any other: without it, each upstream of a rolling restart could die unnoticed.
   */
  it('counts a death during a drain, with all that was in flight', async () => {
    await open(2);
    const [leaving, other] = stations;
    const slow = book(leaving!, 'slow');
    await leaving!.slowArrived;
    beforeDeath = () => leaving!.announce('draining');
    await kill(leaving!);
    expect(verdictOf(await slow)).to.match(/^may-have-run/);
    const [death] = other!.quarantine.bulletin().deaths;
    expect(death!.suspects).to.have.length(2);
  });

  /*
   * The upstream closes one connection under a request and goes on. The caller sees may-have-run,
   * but nobody died: a new connection is taken, and nothing is suspected.
   */
  it('takes a broken connection alone for no death', async () => {
    await open(1);
    const quarantine = new Quarantine(clock, new SeededRandom(1), () => {});
    let probed = 0;
    const flights = new Flights(quarantine, clock, async () => {
      probed += 1;
      return false;
    });
    const breaking = new Guard(clock);
    owned.use(breaking).flights = flights;
    const upstream = createServer((request) => request.socket.destroy());
    const port = await listen(upstream);
    owned.use({ [Symbol.asyncDispose]: () => shut(upstream) });
    const endpoint = { upstream: 'bookings', state: 'ready', slots: 8 } as const;
    breaking.announce({ ...endpoint, host: LOOPBACK, port });
    const answer = await book({ port: await listen(breaking.server) }, INNOCENT);
    expect(verdictOf(answer)).to.equal('may-have-run connection');
    await new Promise(setImmediate);
    expect([probed, quarantine.isIdle]).to.deep.equal([1, true]);
  });
});
