/** The endpoints of each upstream, in the order in which they are asked. */
import { type Endpoint, type Member } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Cohorts } from './cohorts.js';
import { Experience } from './experience.js';

/** Latency assumed before the first answer from any endpoint, in milliseconds. */
export const FIRST_GUESS_MS = 1;

/** The endpoints of one upstream, as seen from the own data centre. */
export interface Group {
  readonly near: Experience[];
  readonly far: Experience[];
  /** Those whose version is on trial, in the same order in all processes. */
  readonly trial: Experience[];
  /** Those that take requests only if no other does. */
  readonly held: Experience[];
  /** Moving average of all answers, in milliseconds. */
  typicalMs: number;
}

/** Made anew when the roster changes, or the roles of versions; what was seen of an endpoint stays. */
export class Groups {
  #experiences = new Map<string, Experience>();

  #generation = -1;

  #cohortsGeneration = -1;

  #groups = new Map<string, Group>();

  constructor(
    private readonly roster: Roster,
    private readonly cohorts: Cohorts,
    private readonly clock: Clock,
  ) {}

  /** Undefined if nobody takes work for the upstream. */
  of(upstream: string): Group | undefined {
    const { generation } = this.cohorts;
    if (this.#generation !== this.roster.generation || this.#cohortsGeneration !== generation) {
      this.#cohortsGeneration = generation;
      this.#index();
    }
    return this.#groups.get(upstream);
  }

  #index(): void {
    const isFirst = this.#generation < 0;
    const before = this.#groups;
    const known = this.#experiences;
    this.#generation = this.roster.generation;
    this.#groups = new Map();
    this.#experiences = new Map();
    for (const member of this.roster.live()) {
      if (member.endpoint?.state !== 'ready') continue;
      const experience = known.get(member.instance) ?? this.#meet(member, isFirst);
      experience.member = member;
      this.#experiences.set(member.instance, experience);
      this.#place(experience, member.endpoint, before);
    }
    for (const group of this.#groups.values()) this.#arrange(group);
  }

  /** At the start of this process nobody is known yet, and all are taken for warm. */
  #meet(member: Member, isFirst: boolean): Experience {
    const experience = new Experience(member);
    if (!isFirst) experience.readySince = this.clock.now();
    return experience;
  }

  #place(
    experience: Experience,
    { upstream, version }: Endpoint,
    before: ReadonlyMap<string, Group>,
  ): void {
    let group = this.#groups.get(upstream);
    if (!group) {
      const typicalMs = before.get(upstream)?.typicalMs ?? FIRST_GUESS_MS;
      group = { near: [], far: [], trial: [], held: [], typicalMs };
      this.#groups.set(upstream, group);
    }
    const role = this.cohorts.roleOf(upstream, version);
    if (role === 'stable') this.#admit(group, experience);
    else if (role !== 'shut') group[role].push(experience);
  }

  #admit({ near, far }: Group, experience: Experience): void {
    const isNear = experience.member.dataCentre === this.roster.self.dataCentre;
    (isNear ? near : far).push(experience);
  }

  #arrange(group: Group): void {
    const { near, far, trial, held } = group;
    trial.sort((one, other) => (one.member.instance < other.member.instance ? -1 : 1));
    if (near.length + far.length > 0) return;
    for (const experience of held) this.#admit(group, experience);
  }
}
