/** A fleet of real processes' parts inside this one, on loopback, over the stand-ins. */
import { Instance } from '../daemon/instance.js';
import { readSettings } from '../daemon/settings.js';
import { MsgpackCodec } from '../link/codec.js';
import { HttpPlatform } from '../platform/http_platform.js';
import { type Clock } from '../runtime/clock.js';
import { MachineRandom } from '../runtime/random.js';
import { ResourceStack } from '../runtime/resource_stack.js';
import { PlatformServer } from '../standins/platform_server.js';
import { UpstreamServer } from '../standins/upstream_server.js';

export interface FleetOptions {
  readonly dataCentres: readonly string[];
  /** One process beside one endpoint of each, in every data centre. */
  readonly upstreams: readonly string[];
  readonly delayMs?: number;
}

/** One process with the upstream instance beside it. */
export interface Station {
  readonly instance: Instance;
  readonly upstream: UpstreamServer;
}

const POLL_MS = 5;

export class Fleet implements AsyncDisposable {
  readonly stations: Station[] = [];

  private constructor(
    readonly platform: PlatformServer,
    private readonly clock: Clock,
    private readonly owned: ResourceStack,
  ) {}

  static async start(clock: Clock, options: FleetOptions): Promise<Fleet> {
    const owned = new ResourceStack();
    const platform = owned.use(await PlatformServer.start(clock));
    const fleet = new Fleet(platform, clock, owned);
    for (const dataCentre of options.dataCentres) {
      for (const [index, upstream] of options.upstreams.entries()) {
        await fleet.#add(dataCentre, `${dataCentre}-${upstream}-${index}`, upstream, options);
      }
    }
    return fleet;
  }

  /** Waits until `condition` holds; false if it does not by the deadline. */
  async until(condition: () => boolean, deadline: number): Promise<boolean> {
    while (!condition()) {
      if (this.clock.now() >= deadline) return false;
      await this.clock.sleepUntil(this.clock.now() + POLL_MS);
    }
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.owned[Symbol.asyncDispose]();
  }

  async #add(
    dataCentre: string,
    name: string,
    upstreamName: string,
    { delayMs = 0 }: FleetOptions,
  ): Promise<void> {
    const { clock } = this;
    const [first] = this.stations;
    const peers = first ? `127.0.0.1:${first.instance.roster.self.linkPort}` : '';
    const settings = readSettings(
      {
        instance: name,
        dataCentre,
        platform: this.platform.url.href,
        peers,
        callerPort: 0,
        guardPort: 0,
        linkPort: 0,
        operatorsPort: 0,
      },
      {},
    );
    const platform = this.owned.use(new HttpPlatform(this.platform.url, clock));
    const codec = new MsgpackCodec();
    const surroundings = { platform, clock, random: new MachineRandom(), codec };
    const instance = this.owned.use(await Instance.start(settings, surroundings));
    const upstream = this.owned.use(
      await UpstreamServer.start(clock, { upstream: upstreamName, delayMs }),
    );
    void upstream.announceTo(instance.operatorsPort);
    this.stations.push({ instance, upstream });
  }
}
