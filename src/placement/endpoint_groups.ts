/** Groups the endpoints of each upstream by data centre and by the role of their version. */
import { type Endpoint, type Member } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type VersionRoles } from './version_roles.js';
import { EndpointStats } from './endpoint_stats.js';

/** Latency assumed before the first answer from any endpoint, in milliseconds. */
export const INITIAL_LATENCY_MS = 1;

/** The endpoints of one upstream; `local` ones are in the data centre of this process. */
export interface EndpointGroup {
  readonly local: EndpointStats[];
  readonly remote: EndpointStats[];
  /** Endpoints whose version is on trial, in the same order in all processes. */
  readonly trial: EndpointStats[];
  /** Endpoints that take requests only if no other does. */
  readonly held: EndpointStats[];
  /** Moving average of the latency of all answers, in milliseconds. */
  typicalMs: number;
}

/** Rebuilt when the roster or the roles of versions change; the statistics of endpoints are kept. */
export class EndpointGroups {
  #stats = new Map<string, EndpointStats>();

  #generation = -1;

  #rolesGeneration = -1;

  #groups = new Map<string, EndpointGroup>();

  constructor(
    private readonly roster: Roster,
    private readonly roles: VersionRoles,
    private readonly clock: Clock,
  ) {}

  /** The group of an upstream; undefined if no endpoint takes its requests. */
  of(upstream: string): EndpointGroup | undefined {
    const { generation } = this.roles;
    if (this.#generation !== this.roster.generation || this.#rolesGeneration !== generation) {
      this.#rolesGeneration = generation;
      this.#index();
    }
    return this.#groups.get(upstream);
  }

  #index(): void {
    const isFirst = this.#generation < 0;
    const before = this.#groups;
    const knownStats = this.#stats;
    this.#generation = this.roster.generation;
    this.#groups = new Map();
    this.#stats = new Map();
    for (const member of this.roster.live()) {
      if (member.endpoint?.state !== 'ready') continue;
      const stats = knownStats.get(member.instance) ?? this.#createStats(member, isFirst);
      stats.member = member;
      this.#stats.set(member.instance, stats);
      this.#assign(stats, member.endpoint, before);
    }
    for (const group of this.#groups.values()) this.#finish(group);
  }

  /** Endpoints that are known when this process starts are taken for warm, later ones for cold. */
  #createStats(member: Member, isFirst: boolean): EndpointStats {
    const stats = new EndpointStats(member);
    if (!isFirst) stats.readySince = this.clock.now();
    return stats;
  }

  #assign(
    stats: EndpointStats,
    { upstream, version }: Endpoint,
    before: ReadonlyMap<string, EndpointGroup>,
  ): void {
    let group = this.#groups.get(upstream);
    if (!group) {
      const typicalMs = before.get(upstream)?.typicalMs ?? INITIAL_LATENCY_MS;
      group = { local: [], remote: [], trial: [], held: [], typicalMs };
      this.#groups.set(upstream, group);
    }
    const role = this.roles.roleOf(upstream, version);
    if (role === 'stable') this.#addStable(group, stats);
    else if (role !== 'shut') group[role].push(stats);
  }

  #addStable({ local, remote }: EndpointGroup, stats: EndpointStats): void {
    const isLocal = stats.member.dataCentre === this.roster.self.dataCentre;
    (isLocal ? local : remote).push(stats);
  }

  #finish(group: EndpointGroup): void {
    const { local, remote, trial, held } = group;
    trial.sort((one, other) => (one.member.instance < other.member.instance ? -1 : 1));
    if (local.length + remote.length > 0) return;
    for (const stats of held) this.#addStable(group, stats);
  }
}
