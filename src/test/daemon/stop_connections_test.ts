import { expect } from 'chai';
import { type Fleet, type FleetNode } from '../../bench/fleet.js';
import { MachineClock } from '../../runtime/clock.js';
import { RawCaller } from '../requests/raw_caller.js';
import { ask } from '../requests/test_path.js';
import { startBookingFleet } from './booking_fleet.js';

const clock = new MachineClock();
const LONG_MS = 10_000;
const WORK_MS = 300;
/** More than the buffers between a process and a caller that does not read hold. */
const LARGE_BYTES = 32 * 1024 * 1024;

/** Held by the buffers between a process and a caller that does not read, but not by the caller's alone. */
const BUFFERED_BYTES = 2 * 1024 * 1024;

describe('Instance.stop, callers with open connections', () => {
  let fleet: Fleet;
  let leaving: FleetNode;

  beforeEach(async () => {
    fleet = await startBookingFleet(clock);
    leaving = fleet.nodes[0]!;
    for (const { upstream } of fleet.nodes) upstream.delayMs = WORK_MS;
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const until = (isDone: () => boolean) => fleet.waitUntil(isDone, clock.now() + LONG_MS);

  /** How often a request has run. */
  const runs = (id: string) =>
    fleet.nodes.reduce((sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0), 0);

  /** Stops the process and closes what is still open, as its end does. */
  async function end(stopMs = LONG_MS): Promise<void> {
    await leaving.instance.stop(clock.now() + stopMs);
    await leaving.instance.entry[Symbol.asyncDispose]();
  }

  /** Whether other processes are told to send no more work to the upstream instance of the process. */
  function isDraining(): boolean {
    const { roster } = leaving.instance;
    return roster.get(roster.self.instance)?.endpoint?.state === 'draining';
  }

  const isPortClosed = () => !leaving.instance.entry.server.listening;

  async function connect(): Promise<RawCaller> {
    const caller = await RawCaller.connect(leaving.instance.callerPort);
    await until(() => leaving.instance.entry.tracker.counts.unused === 1);
    return caller;
  }

  /**
   * A caller that does not read its large response on, so that its connection stays in use. The
   * response comes from the other upstream instance.
   */
  async function connectSlowReader(): Promise<RawCaller> {
    leaving.upstream.state = 'draining';
    await until(isDraining);
    const caller = await connect();
    caller.send({ path: '/menus', id: 'large', headers: { 'x-bytes': String(LARGE_BYTES) } });
    await until(() => caller.received.length > 0);
    caller.pause();
    return caller;
  }

  // Guards against a request that runs and is cut, because its connection was open and unused when the port closed.
  it('answers a request on a connection that it had accepted before its port closed', async () => {
    using caller = await connect();
    const ended = end();
    await until(isPortClosed);
    caller.send({ path: '/menus', id: 'late', timeoutMs: LONG_MS / 4 });
    await ended;
    expect(await caller.closed).to.match(/^HTTP\/1\.1 200 [^]*connection: close[^]*"late"/i);
  });

  // Guards against a stop that waits until its deadline for a caller who has connected and sends nothing.
  it('does not wait for connections that stay unused', async () => {
    using caller = await connect();
    const deadline = clock.now() + LONG_MS;
    const ended = end().then(() => 'ended');
    const waited = clock.sleepUntil(deadline - LONG_MS / 4).then(() => 'still waiting');
    expect(await Promise.race([ended, waited])).to.equal('ended');
    expect(await caller.closed).to.equal('');
    await ended;
  });

  // Guards against callers who go on using a connection of a process that stops, as nothing told them to leave it.
  it('closes a connection with the response to a request that came before the stop', async () => {
    using caller = await connect();
    caller.send({ path: '/menus', id: 'before' });
    await until(() => runs('before') === 1);
    await end();
    expect(await caller.closed).to.match(/^HTTP\/1\.1 200 [^]*connection: close/i);
  });

  // Guards against a request that is taken late in the stop, runs, and is cut as the process ends.
  it('refuses a late request that may not end in time, and closes its connection', async () => {
    using caller = await connectSlowReader();
    const ended = end(LONG_MS / 2);
    await until(isPortClosed);
    for (const { upstream } of fleet.nodes) upstream.delayMs = LONG_MS;
    caller.send({ path: '/menus', id: 'late', timeoutMs: LONG_MS });
    caller.resume();
    await ended;
    const received = await caller.closed;
    expect([caller.statuses, runs('late')]).to.deep.equal([[200, 503], 0]);
    expect(received.slice(received.lastIndexOf('HTTP/1.1'))).to.match(
      /connection: close[^]*"verdict":"not-run","reason":"stopping"/i,
    );
  });

  // Guards against requests that fail because their instance can make no calls while its process stops.
  it('keeps its port open while its upstream instance works', async () => {
    const { upstream } = leaving;
    fleet.nodes[1]!.upstream.delayMs = 0;
    upstream.delayMs = LONG_MS / 4;
    const { callerPort } = leaving.instance;
    const parents = Array.from({ length: 8 }, () => ask(callerPort, { path: '/menus' }));
    await until(() => upstream.inFlight > 0);
    const ended = end();
    await until(isDraining);
    const closeAt = clock.now() + leaving.instance.settings.drainMs;
    await clock.sleepUntil(closeAt + WORK_MS);
    const answer = await ask(callerPort, {
      path: '/menus',
      headers: { 'x-request': 'call', 'request-timeout-ms': 1_000 },
    });
    expect([answer.status, upstream.inFlight > 0]).to.deep.equal([200, true]);
    await Promise.all([ended, ...parents]);
  });

  // Guards against refusing what can be answered: callers have nowhere else to send it for a moment.
  it('serves a late request that ends in time', async () => {
    using caller = await connectSlowReader();
    const ended = end();
    await until(isPortClosed);
    caller.send({ path: '/menus', id: 'late', timeoutMs: LONG_MS / 4 });
    caller.resume();
    await ended;
    await caller.closed;
    expect([caller.statuses, runs('late')]).to.deep.equal([[200, 200], 1]);
  });

  // Guards against requests on a connection that became idle after the port had closed.
  it('closes a connection whose response had begun before the stop, once that is complete', async () => {
    using caller = await connectSlowReader();
    const ended = end();
    await until(isPortClosed);
    caller.resume();
    await ended;
    const received = await caller.closed;
    expect(caller.statuses).to.deep.equal([200]);
    expect(received.length).to.be.greaterThan(LARGE_BYTES);
  });

  // Guards against a reset that discards what a caller has not read, because it sends a request behind it.
  it('does not cut a response by a request behind it that it does not take', async () => {
    using caller = await connect();
    const { tracker } = leaving.instance.entry;
    const ended = end();
    await until(() => tracker.isShuttingDown);
    caller.send({ path: '/menus', id: 'large', headers: { 'x-bytes': String(BUFFERED_BYTES) } });
    await until(() => caller.received.length > 0);
    caller.pause();
    await until(() => tracker.inFlight === 0);
    caller.send({ path: '/menus', id: 'behind' });
    await until(isPortClosed);
    caller.resume();
    await ended;
    expect((await caller.closed).length).to.be.greaterThan(BUFFERED_BYTES);
    expect([caller.statuses, runs('behind')]).to.deep.equal([[200], 0]);
  });
});
