/** Surveys which versions the fleet holds, through the tree and without calls to the platform. */
import { type Member, type SurveyQuery, type Survey } from '../contracts.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { SURVEY } from './methods.js';
import { type Replica } from './replica.js';
import { mergeSurveys, surveyProcess, unknownSurvey } from './survey.js';

/**
 * Share of the remaining time that each level of the tree gives to the level below; the rest is
 * kept for its own answer.
 */
const LEVEL_SHARE = 0.8;
/** Timeout of one attempt to have the root run a survey, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 2_000;
/** Maximum number of processes of another data centre that are asked, one after the other. */
const MAX_PROCESSES_ASKED = 2;
/** How long a survey keeps retrying while the root is being replaced, in milliseconds. */
const SURVEY_TIMEOUT_MS = 8_000;
const RETRY_MS = 250;

/** A survey request with its deadline on this process's clock. */
interface SurveyTask {
  readonly scope: SurveyQuery['scope'];
  readonly head: number;
  readonly deadline: number;
}

export class Surveyor {
  constructor(
    private readonly replica: Replica,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    methods: Methods,
  ) {
    methods.on(SURVEY, (_, { scope, head, withinMs }) => {
      const deadline = clock.now() + withinMs;
      return this.#answer({ scope, head, deadline });
    });
  }

  /**
   * Counts how many processes of the fleet hold which version. Processes that cannot be reached
   * count as unknown; none is left out.
   */
  async survey(): Promise<Survey> {
    const peerVersions = this.mesh.peers.map((peer) => peer.version);
    const head = Math.max(this.replica.current.number, ...peerVersions);
    const giveUpAt = this.clock.now() + SURVEY_TIMEOUT_MS;
    while (this.clock.now() < giveUpAt) {
      try {
        return await this.#answer({
          scope: 'fleet',
          head,
          deadline: this.clock.now() + ATTEMPT_TIMEOUT_MS,
        });
      } catch {
        // The root has died or is paused; the ranking will soon have another one.
        await this.clock.sleepUntil(this.clock.now() + RETRY_MS);
      }
    }
    return this.#surveyWithoutRoot(head);
  }

  /**
   * Answers a survey request, by way of the root unless only the subtree is asked for. Rejects if
   * the root does not answer in time.
   */
  async #answer(task: SurveyTask): Promise<Survey> {
    if (task.scope !== 'subtree' && !this.ranking.isRoot) return this.#askParent(task);
    const parts = [this.#surveySelf(task.head)];
    const subtrees = this.ranking.children.map((child) => this.#surveySubtree(child, task));
    const otherDataCentres = task.scope === 'fleet' ? this.#surveyOtherDataCentres(task) : [];
    parts.push(...(await Promise.all([...subtrees, ...otherDataCentres])));
    return mergeSurveys(parts);
  }

  #surveySelf(head: number): Survey {
    return surveyProcess(this.roster.self, this.replica, head);
  }

  #askParent(task: SurveyTask): Promise<Survey> {
    const { parent } = this.ranking;
    const peer = parent && this.mesh.peer(parent.instance);
    if (!peer) throw new Error('no link to the parent');
    return this.#ask(peer, task.scope, task);
  }

  /**
   * Surveys the subtree of a child. If the child does not answer, its whole subtree counts as
   * unknown.
   */
  async #surveySubtree(child: Member, task: SurveyTask): Promise<Survey> {
    const peer = this.mesh.peer(child.instance);
    try {
      if (peer) return await this.#ask(peer, 'subtree', task);
    } catch {
      // Counted as unknown below.
    }
    const { dataCentre } = this.roster.self;
    return unknownSurvey([child, ...this.ranking.descendants(dataCentre, child.instance)]);
  }

  #surveyOtherDataCentres(task: SurveyTask): Promise<Survey>[] {
    const own = this.roster.self.dataCentre;
    const others = this.ranking.dataCentres().filter((name) => name !== own);
    return others.map((name) => this.#surveyDataCentre(name, task));
  }

  /** Asks processes of another data centre that are linked, the root first, until one answers. */
  async #surveyDataCentre(name: string, task: SurveyTask): Promise<Survey> {
    const root = this.ranking.root(name)?.instance;
    const linked = this.mesh.peers
      .filter((peer) => peer.member?.dataCentre === name)
      .sort((a, b) => Number(b.member?.instance === root) - Number(a.member?.instance === root));
    const attemptMs =
      (task.deadline - this.clock.now()) / Math.min(linked.length, MAX_PROCESSES_ASKED);
    for (const peer of linked.slice(0, MAX_PROCESSES_ASKED)) {
      try {
        const deadline = this.clock.now() + attemptMs;
        return await this.#ask(peer, 'data-centre', { ...task, deadline });
      } catch {
        // The next peer may be reachable.
      }
    }
    return { ...unknownSurvey(this.ranking.ranked(name)), unreached: [name] };
  }

  #ask(peer: Peer, scope: SurveyQuery['scope'], { head, deadline }: SurveyTask): Promise<Survey> {
    const withinMs = (deadline - this.clock.now()) * LEVEL_SHARE;
    return peer.request(SURVEY, { scope, head, withinMs }, deadline);
  }

  /** The survey if no root answers: only this process is known. */
  #surveyWithoutRoot(head: number): Survey {
    const { self } = this.roster;
    const own = this.ranking.ranked(self.dataCentre);
    const others = this.ranking.dataCentres().filter((name) => name !== self.dataCentre);
    return mergeSurveys([
      this.#surveySelf(head),
      unknownSurvey(own.filter(({ instance }) => instance !== self.instance)),
      ...others.map((name) => ({ ...unknownSurvey(this.ranking.ranked(name)), unreached: [name] })),
    ]);
  }
}
