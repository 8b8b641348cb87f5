/** Moves versions from process to process: pushes down the tree, pulls by whoever is behind. */
import { type Pulled, type Survey, type Version } from '../contracts.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { PULL, PUSH, RECALL, SURVEY } from './methods.js';
import { type Replica } from './replica.js';
import { emptySurvey, mergeSurveys, surveyOf } from './survey.js';

/** How soon versions travel, and how. */
export abstract class Profile {
  /** Whether a version is pushed as soon as it is in force; it is pulled otherwise. */
  abstract readonly pushes: boolean;

  /** How long a process that is behind waits for a push before it pulls, in milliseconds. */
  abstract readonly patienceMs: number;
}

/** Convergence first: push at once, the whole change. */
export class ConvergenceProfile extends Profile {
  readonly pushes = true;

  readonly patienceMs = 100;
}

/** Bytes first: gather several versions into one pull. */
export class BytesProfile extends Profile {
  readonly pushes = false;

  readonly patienceMs = 500;
}

const PULL_TIMEOUT_MS = 2_000;
/** Each level of the tree answers this much sooner than the one above gives up. */
const SURVEY_LEVEL_MS = 150;
const SURVEY_TIMEOUT_MS = 1_500;

export class Distributor {
  #pulling = false;

  constructor(
    private readonly replica: Replica,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly profile: Profile,
    private readonly clock: Clock,
    methods: Methods,
  ) {
    replica.onApplied((versions) => this.#spread(versions));
    mesh.onOpen((peer) => void this.#catchUp(peer));
    methods
      .on(PUSH, (peer, { versions }) => this.#pushed(peer, versions))
      .on(PULL, (_, { after }) => this.#pulled(after))
      .on(RECALL, (_, { instance }) => ({ version: this.#highestHeard.get(instance) ?? 0 }))
      .on(SURVEY, (_, { scope }) => this.survey(scope));
  }

  /** Highest version ever heard from each instance: it must not come back with less. */
  readonly #highestHeard = new Map<string, number>();

  /** Counts who holds what; what cannot be reached in time is unknown. */
  async survey(scope: 'subtree' | 'data-centre' | 'fleet'): Promise<Survey> {
    const { parent, isRoot } = this.ranking;
    if (scope !== 'subtree' && !isRoot) return this.#ask(parent?.instance, scope, 'own');
    const parts = [surveyOf(this.roster.self, this.replica)];
    const below = this.ranking.children.map((child) =>
      this.#ask(child.instance, 'subtree', child.instance),
    );
    const beside = scope === 'fleet' ? this.#otherDataCentres() : [];
    parts.push(...(await Promise.all([...below, ...beside])));
    return mergeSurveys(parts);
  }

  #otherDataCentres(): Promise<Survey>[] {
    const own = this.roster.self.dataCentre;
    const others = this.ranking.dataCentres().filter((name) => name !== own);
    return others.map(async (name) => {
      const survey = await this.#ask(this.ranking.root(name)?.instance, 'data-centre', name);
      return survey.unknown.includes(name) ? { ...survey, unknown: [], unreached: [name] } : survey;
    });
  }

  async #ask(
    instance: string | undefined,
    scope: 'subtree' | 'data-centre' | 'fleet',
    label: string,
  ): Promise<Survey> {
    const peer = instance === undefined ? undefined : this.mesh.peer(instance);
    const span = SURVEY_TIMEOUT_MS - (scope === 'subtree' ? SURVEY_LEVEL_MS : 0);
    try {
      if (peer) return await peer.request(SURVEY, { scope }, this.clock.now() + span);
    } catch {
      // Falls through: who does not answer is unknown.
    }
    return { ...emptySurvey(), unknown: [label] };
  }

  #spread(versions: readonly Version[]): void {
    if (!this.profile.pushes || versions.length === 0) return;
    for (const { instance } of this.ranking.children) {
      const peer = this.mesh.peer(instance);
      if (peer) this.#push(peer, versions);
    }
  }

  #push(peer: Peer, versions: readonly Version[]): void {
    const news = versions.filter((version) => version.number > peer.version);
    if (news.length > 0) peer.notify(PUSH, { versions: news });
  }

  #pushed(peer: Peer, versions: readonly Version[]): void {
    this.#note(peer, versions.at(-1)?.number ?? 0);
    if (!this.replica.apply(versions)) void this.#catchUp(peer);
  }

  /** Notes the version of a peer's heartbeat, and pulls if it is ahead. */
  heard(peer: Peer, version: number): void {
    this.#note(peer, version);
    void this.#catchUp(peer);
  }

  #note(peer: Peer, version: number): void {
    peer.version = Math.max(peer.version, version);
    const instance = peer.member?.instance;
    if (instance === undefined) return;
    const before = this.#highestHeard.get(instance) ?? 0;
    if (version > before) this.#highestHeard.set(instance, version);
  }

  /** Pulls from a peer that is ahead, unless a push brings the versions first. */
  async #catchUp(peer: Peer): Promise<void> {
    if (peer.version <= this.replica.current.number || this.#pulling) return;
    this.#pulling = true;
    try {
      await this.clock.sleepUntil(this.clock.now() + this.profile.patienceMs, peer.link.closed);
      const after = this.replica.current.number;
      if (peer.version <= after) return;
      const answer = await peer.request(PULL, { after }, this.clock.now() + PULL_TIMEOUT_MS);
      if (answer.snapshot) this.replica.install(answer.snapshot);
      this.replica.apply(answer.versions);
    } catch {
      // The next heartbeat of any peer that is ahead starts another pull.
    } finally {
      this.#pulling = false;
    }
  }

  #pulled(after: number): Pulled {
    const versions = this.replica.since(after);
    if (versions) return { versions: [...versions] };
    return { versions: [], snapshot: this.replica.snapshot() };
  }
}
