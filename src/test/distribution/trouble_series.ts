/** Series of overlapping faults of processes, their links and their connections to the store. */
import { READERS_PER_DATA_CENTRE } from '../../membership/ranking.js';
import { type Random } from '../../runtime/random.js';
import { type LostDirections } from '../../standins/memory_network.js';
import { type ObjectFleet } from './object_fleet.js';
import { type Node } from './test_fleet.js';
import { TouchCheck } from './touch_check.js';

export const TROUBLES = [
  'paused',
  'killed',
  'turned away',
  'store silent',
  'isolated',
  'sends nothing',
  'receives nothing',
  'links silent',
  'all connections silent',
] as const;
export type Trouble = (typeof TROUBLES)[number];

export const SCOPES = [
  'readers of one',
  'readers',
  'a third',
  'all but one of one',
  'one',
] as const;
export type Scope = (typeof SCOPES)[number];

const MAX_TROUBLE_MS = 5_000;
const VERSION_INTERVAL_MS = 300;
const MAX_VERSIONS = 8;

const LOST: Readonly<Record<'isolated' | 'sends nothing' | 'receives nothing', LostDirections>> = {
  isolated: 'both',
  'sends nothing': 'sent',
  'receives nothing': 'received',
};

/** A fault that some processes have for a time. */
export interface Fault {
  readonly trouble: Trouble;
  readonly scope: Scope;
}

export class TroubleSeries {
  readonly check: TouchCheck;

  readonly #impaired = new Set<string>();

  constructor(
    private readonly objects: ObjectFleet,
    private readonly random: Random,
  ) {
    this.check = new TouchCheck(objects, this.#impaired);
  }

  /** Starts the faults one shortly after the other, writes versions meanwhile, and ends all faults. */
  async play(faults: readonly Fault[]): Promise<void> {
    for (const { trouble, scope } of faults) {
      this.#start(trouble, this.#nodesOf(scope));
      await this.check.advance(this.random.below(400));
    }
    const endsAt = this.objects.fleet.clock.now() + 500 + this.random.below(MAX_TROUBLE_MS);
    const versions = 1 + this.random.below(MAX_VERSIONS);
    for (let count = 0; count < versions; count += 1) {
      await this.check.write();
      await this.check.advance(VERSION_INTERVAL_MS);
    }
    await this.check.advance(Math.max(0, endsAt - this.objects.fleet.clock.now()));
    this.#endAll();
  }

  #nodesOf(scope: Scope): Node[] {
    const { fleet, readers } = this.objects;
    const nodes = fleet.alive.filter(({ name }) => !this.objects.frozen.has(name));
    const zones = [...new Set(nodes.map(({ host }) => host.dataCentre))];
    const members = fleet.ranked(this.random.shuffled(zones)[0]!);
    if (scope === 'readers') return readers;
    if (scope === 'readers of one') return members.slice(0, READERS_PER_DATA_CENTRE);
    if (scope === 'one') return this.random.shuffled(nodes).slice(0, 1);
    if (scope === 'a third') return this.random.shuffled(nodes).slice(0, nodes.length / 3);
    return this.random.shuffled(members).slice(1);
  }

  #start(trouble: Trouble, nodes: readonly Node[]): void {
    const { fleet } = this.objects;
    const names = nodes.map(({ name }) => name);
    switch (trouble) {
      case 'isolated':
      case 'sends nothing':
      case 'receives nothing':
        // The source is still reached, so these processes count as in touch.
        nodes.forEach(({ host }) => fleet.network.isolate(host, LOST[trouble]));
        return;
      case 'killed':
        nodes.forEach((node) => this.#restart(node));
        this.check.markImpaired(names);
        return;
      case 'links silent':
        this.#silenceLinks(nodes);
        this.check.markImpaired(names);
        return;
      case 'all connections silent':
        this.#silenceAll();
        return;
      case 'paused':
        this.objects.freeze(nodes);
        break;
      default:
        fleet.isSilentlyCut = trouble === 'store silent';
        names.forEach((name) => fleet.cutOff.add(name));
    }
    this.check.markImpaired(names);
    names.forEach((name) => this.#impaired.add(name));
  }

  #restart({ name, host, isAlive }: Node): void {
    if (!isAlive || this.objects.frozen.has(name)) return;
    this.objects.fleet.kill(name);
    this.objects.fleet.launch(name, host.dataCentre);
  }

  #silenceLinks(nodes: readonly Node[]): void {
    const { fleet } = this.objects;
    for (const { host } of nodes)
      for (const other of fleet.alive) fleet.network.silence(host, other.host);
  }

  #silenceAll(): void {
    const { fleet, platforms } = this.objects;
    this.#silenceLinks(fleet.alive);
    for (const { name } of fleet.alive) platforms.get(name)!.silenceConnections();
    this.check.markImpaired(fleet.alive.map(({ name }) => name));
  }

  #endAll(): void {
    this.check.markImpaired(this.#impaired);
    this.#impaired.clear();
    this.objects.thaw();
    this.objects.fleet.cutOff.clear();
    this.objects.fleet.network.heal();
  }
}
