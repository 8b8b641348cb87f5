/** A fleet of instances that run within this process, on loopback, with stand-ins around them. */
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
  /** One node with an endpoint is started for each, in every data centre. */
  readonly upstreams: readonly string[];
  readonly delayMs?: number;
  /** Whether the upstream instances announce ids. */
  readonly hasIds?: boolean;
  /** Rate of the network link of each process, in kilobits per second; unknown when absent. */
  readonly uplinkKbps?: number;
}

/** An instance of the daemon with the upstream instance that it serves. */
export interface FleetNode {
  readonly instance: Instance;
  readonly upstream: UpstreamServer;
}

const POLL_MS = 5;

export class Fleet implements AsyncDisposable {
  readonly nodes: FleetNode[] = [];

  private constructor(
    readonly platform: PlatformServer,
    private readonly clock: Clock,
    private readonly resources: ResourceStack,
  ) {}

  static async start(clock: Clock, options: FleetOptions): Promise<Fleet> {
    const resources = new ResourceStack();
    const platform = resources.use(await PlatformServer.start(clock));
    const fleet = new Fleet(platform, clock, resources);
    for (const dataCentre of options.dataCentres) {
      for (const [index, upstream] of options.upstreams.entries()) {
        await fleet.#startNode(dataCentre, `${dataCentre}-${upstream}-${index}`, upstream, options);
      }
    }
    return fleet;
  }

  /** Resolves to true once `condition` holds, or to false at the deadline. */
  async waitUntil(condition: () => boolean, deadline: number): Promise<boolean> {
    while (!condition()) {
      if (this.clock.now() >= deadline) return false;
      await this.clock.sleepUntil(this.clock.now() + POLL_MS);
    }
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  async #startNode(
    dataCentre: string,
    name: string,
    upstreamName: string,
    { delayMs = 0, hasIds = false, uplinkKbps }: FleetOptions,
  ): Promise<void> {
    const { clock } = this;
    const [first] = this.nodes;
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
        uplinkKbps,
      },
      {},
    );
    const platform = this.resources.use(new HttpPlatform(this.platform.url, clock));
    const codec = new MsgpackCodec();
    const dependencies = { platform, clock, random: new MachineRandom(), codec };
    const instance = this.resources.use(await Instance.start(settings, dependencies));
    const upstream = this.resources.use(
      await UpstreamServer.start(clock, {
        upstream: upstreamName,
        delayMs,
        ...(hasIds && { id: name }),
      }),
    );
    void upstream.announceTo(instance.operatorsPort);
    this.nodes.push({ instance, upstream });
  }
}
