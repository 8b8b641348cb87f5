/** Asks the whole fleet where versions stand, through the tree and at no cost to the platform. */
import { type Member, type Scope, type Survey } from '../contracts.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { SURVEY } from './methods.js';
import { type Replica } from './replica.js';
import { mergeSurveys, surveyOf, unknownSurvey } from './survey.js';

/** Each level has this share of the time of the one above, so that it answers in time. */
const LEVEL_SHARE = 0.8;
/** One attempt to have a survey made by the root. */
const ATTEMPT_MS = 2_000;
/** Processes of another data centre that are asked, one after the other. */
const MAX_TRIES = 2;
/** How long a survey goes on trying while the root is being replaced, in milliseconds. */
const SURVEY_MS = 8_000;
const RETRY_MS = 250;

/** What a survey is about, and when its answer is of no use any more. */
interface Inquiry {
  readonly scope: Scope['scope'];
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

  /** Counts who holds what in the fleet; who cannot be reached is unknown, never left out. */
  async survey(): Promise<Survey> {
    const known = this.mesh.peers.map((peer) => peer.version);
    const head = Math.max(this.replica.current.number, ...known);
    const giveUp = this.clock.now() + SURVEY_MS;
    while (this.clock.now() < giveUp) {
      try {
        return await this.#answer({
          scope: 'fleet',
          head,
          deadline: this.clock.now() + ATTEMPT_MS,
        });
      } catch {
        // The root died or is paused; in a moment the ranking has another one.
        await this.clock.sleepUntil(this.clock.now() + RETRY_MS);
      }
    }
    return this.#alone(head);
  }

  /** Rejects if the root of the data centre does not answer in time. */
  async #answer(inquiry: Inquiry): Promise<Survey> {
    if (inquiry.scope !== 'subtree' && !this.ranking.isRoot) return this.#askParent(inquiry);
    const parts = [this.#own(inquiry.head)];
    const below = this.ranking.children.map((child) => this.#below(child, inquiry));
    const beside = inquiry.scope === 'fleet' ? this.#beside(inquiry) : [];
    parts.push(...(await Promise.all([...below, ...beside])));
    return mergeSurveys(parts);
  }

  #own(head: number): Survey {
    return surveyOf(this.roster.self, this.replica, head);
  }

  #askParent(inquiry: Inquiry): Promise<Survey> {
    const { parent } = this.ranking;
    const peer = parent && this.mesh.peer(parent.instance);
    if (!peer) throw new Error('no link towards the root');
    return this.#ask(peer, inquiry.scope, inquiry);
  }

  /** A child that does not answer leaves all below it unknown. */
  async #below(child: Member, inquiry: Inquiry): Promise<Survey> {
    const peer = this.mesh.peer(child.instance);
    try {
      if (peer) return await this.#ask(peer, 'subtree', inquiry);
    } catch {
      // Counted below.
    }
    const { dataCentre } = this.roster.self;
    return unknownSurvey([child, ...this.ranking.descendants(dataCentre, child.instance)]);
  }

  #beside(inquiry: Inquiry): Promise<Survey>[] {
    const own = this.roster.self.dataCentre;
    const others = this.ranking.dataCentres().filter((name) => name !== own);
    return others.map((name) => this.#dataCentre(name, inquiry));
  }

  /** Asks any process of another data centre to which there is a link, the root first. */
  async #dataCentre(name: string, inquiry: Inquiry): Promise<Survey> {
    const root = this.ranking.root(name)?.instance;
    const linked = this.mesh.peers
      .filter((peer) => peer.member?.dataCentre === name)
      .sort((a, b) => Number(b.member?.instance === root) - Number(a.member?.instance === root));
    const span = (inquiry.deadline - this.clock.now()) / Math.min(linked.length, MAX_TRIES);
    for (const peer of linked.slice(0, MAX_TRIES)) {
      try {
        const deadline = this.clock.now() + span;
        return await this.#ask(peer, 'data-centre', { ...inquiry, deadline });
      } catch {
        // The next one may be in reach.
      }
    }
    return { ...unknownSurvey(this.ranking.ranked(name)), unreached: [name] };
  }

  #ask(peer: Peer, scope: Scope['scope'], { head, deadline }: Inquiry): Promise<Survey> {
    const withinMs = (deadline - this.clock.now()) * LEVEL_SHARE;
    return peer.request(SURVEY, { scope, head, withinMs }, deadline);
  }

  /** What is left to say when no root answers. */
  #alone(head: number): Survey {
    const { self } = this.roster;
    const own = this.ranking.ranked(self.dataCentre);
    const others = this.ranking.dataCentres().filter((name) => name !== self.dataCentre);
    return mergeSurveys([
      this.#own(head),
      unknownSurvey(own.filter(({ instance }) => instance !== self.instance)),
      ...others.map((name) => ({ ...unknownSurvey(this.ranking.ranked(name)), unreached: [name] })),
    ]);
  }
}
