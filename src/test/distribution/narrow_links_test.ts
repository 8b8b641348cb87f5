import { expect } from 'chai';
import { type Resource, Route, Upstream } from '../../contracts.js';
import { MsgpackCodec } from '../../link/codec.js';
import { MAX_FRAME_BYTES } from '../../link/tcp_link.js';
import { LongMessageCodec } from '../../link/long_message_codec.js';
import { PROMPT } from '../../membership/pace.js';
import { SeededRandom } from '../../runtime/random.js';
import { IdleFeed } from './idle_feed.js';
import { TestFleet } from './test_fleet.js';

const LINK_KBPS = 5_880;
/** Time that the transfer may take until every process has applied the version, in milliseconds. */
const APPLY_TIMEOUT_MS = 1_000;
const ROUTES = 1_126;
const MORE_ROUTES = 1_400;

const random = new SeededRandom(11);
const letters = (count: number) =>
  Array.from({ length: count }, () => random.below(36).toString(36)).join('');

function routes(count: number): Resource[] {
  return Array.from({ length: count }, () =>
    Route.parse({
      kind: 'route',
      name: `r-${letters(7)}`,
      host: `${letters(6)}.example`,
      pathPrefix: `/${letters(8)}`,
      upstream: 'listings',
      timeoutMs: 2_000 + random.below(900),
      targetMs: 500,
      maxBodyBytes: 1 << 20,
    }),
  );
}

const listings = Upstream.parse({ kind: 'upstream', name: 'listings' });

function start(fanout: number): Promise<TestFleet> {
  return TestFleet.start({
    sizes: { arima: 31 },
    fanout,
    pace: PROMPT,
    linkKbps: LINK_KBPS,
    codec: new LongMessageCodec(new MsgpackCodec(), MAX_FRAME_BYTES),
    feed: (_, clock) => new IdleFeed(clock),
  });
}

describe('a large version over narrow links', () => {
  // Guards against sending the whole configuration to each process, during which requests are
  // routed by the previous version.
  it('is applied by every process in time, because only its change is sent', async () => {
    await using fleet = await start(8);
    const [first] = fleet.ranked('arima') as [(typeof fleet.alive)[0]];
    const write = (number: number, resources: readonly Resource[]) =>
      first.control.replica.replace(number, resources, fleet.clock.now());
    const before = [listings, ...routes(ROUTES)];
    write(3, before);
    await fleet.time.advance(20_000);
    expect(fleet.holds(3)).to.equal(true);
    write(15, [...before, ...routes(MORE_ROUTES)]);
    expect(await fleet.time.until(() => fleet.holds(15), APPLY_TIMEOUT_MS)).to.equal(true);
  });
});
