/** A process with all of its ports, beside an upstream instance that answers as planned. */
import { type Server } from 'node:http';
import { Configuration } from '../../configuration/configuration.js';
import { Resource } from '../../contracts.js';
import { portOf } from '../../daemon/bind.js';
import { Instance } from '../../daemon/instance.js';
import { readSettings } from '../../daemon/settings.js';
import { MsgpackCodec } from '../../link/codec.js';
import { createReportServer } from '../../platform/endpoint_reports.js';
import { HttpPlatform } from '../../platform/http_platform.js';
import { createReadinessServer } from '../../platform/readiness_port.js';
import { type Dialect } from '../../requests/dialect.js';
import { type Clock } from '../../runtime/clock.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { SeededRandom } from '../../runtime/random.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { PlatformServer } from '../../standins/platform_server.js';
import { IdleFeed } from '../distribution/idle_feed.js';
import { MemoryLog } from '../logs/memory_log.js';
import { type PortName } from './odd_input.js';
import { OddUpstream } from './odd_upstream.js';

const UPSTREAM = 'bookings';
const RESOURCES: readonly Resource[] = [
  { kind: 'upstream', name: UPSTREAM },
  { kind: 'route', name: 'menus', pathPrefix: '/menus', upstream: UPSTREAM, timeoutMs: 500 },
  // Long enough that a busy machine answers in time.
  { kind: 'route', name: 'sound', pathPrefix: '/sound', upstream: UPSTREAM, timeoutMs: 30_000 },
  { kind: 'route', name: 'short', pathPrefix: '/short', upstream: UPSTREAM, timeoutMs: 100 },
  {
    kind: 'route',
    name: 'seats',
    pathPrefix: '/seats',
    upstream: UPSTREAM,
    repeatable: false,
    timeoutMs: 300,
    maxBodyBytes: 1 << 20,
  },
].map((resource) => Resource.parse(resource));

export class OddProcess implements AsyncDisposable {
  readonly ports: Readonly<Record<PortName, number>>;

  private constructor(
    readonly instance: Instance,
    readonly upstream: OddUpstream,
    reports: Server,
    readiness: Server,
    private readonly owned: ResourceStack,
  ) {
    const { callerPort, operatorsPort, roster } = instance;
    this.ports = {
      callers: callerPort,
      guard: roster.self.guardPort,
      link: roster.self.linkPort,
      operators: operatorsPort,
      reports: portOf(reports),
      readiness: portOf(readiness),
    };
  }

  static async start(clock: Clock, dialect: Dialect): Promise<OddProcess> {
    const owned = new ResourceStack();
    const store = owned.use(await PlatformServer.start(clock));
    const platform = owned.use(new HttpPlatform(store.url, clock));
    const given = { instance: 'self', dataCentre: 'arima', platform: store.url.href };
    const ports = { callerPort: 0, guardPort: 0, linkPort: 0, operatorsPort: 0 };
    const settings = readSettings({ ...given, ...ports }, {});
    const instance = owned.use(
      await Instance.start(settings, {
        platform,
        clock,
        random: new SeededRandom(1),
        codec: new MsgpackCodec(),
        dialect,
        feed: () => new IdleFeed(clock),
        log: new MemoryLog(),
      }),
    );
    const upstream = owned.use(await OddUpstream.start());
    const { control } = instance;
    const reports = createReportServer(() => UPSTREAM, {
      take: (announcement) => control.endpointLease.renew(announcement),
      depart: (run) => control.endpointLease.depart(run),
      kept: () => control.endpointReplicated(),
    });
    const readiness = createReadinessServer(() => instance.isReady);
    for (const server of [reports, readiness]) {
      await listen(server);
      owned.use({ [Symbol.asyncDispose]: () => closeServer(server) });
    }
    const version = Configuration.empty.next({ put: [...RESOURCES], remove: [] });
    instance.replica.replace(version.number, RESOURCES, clock.now());
    return new OddProcess(instance, upstream, reports, readiness, owned);
  }

  /** Announces the upstream instance as it is, whatever odd announcements said before. */
  announce(): void {
    this.instance.control.endpointLease.renew({
      upstream: UPSTREAM,
      state: 'ready',
      slots: 200,
      host: LOOPBACK,
      port: this.upstream.port,
    });
  }

  /** Requests of callers and of other processes that have not ended. */
  get inFlight(): number {
    return this.instance.entry.tracker.inFlight + this.instance.guard.tracker.inFlight;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.owned[Symbol.asyncDispose]();
  }
}
