/** Proposals by operators: a new note, an amendment or a withdrawal. */
import { type Configuration } from '../configuration/configuration.js';
import { digestOf } from '../configuration/digest.js';
import { type Action, type Problem, type ReleaseNote } from '../contracts.js';
import {
  type Effect,
  evaluate,
  evaluateAmendment,
  evaluateWithdrawal,
  type Evaluation,
} from './evaluate.js';
import { type IndexedVersion } from './note_index.js';

/** A request to accept a change as the next version. */
export abstract class Proposal {
  abstract readonly action: Action;

  /** Id of the release note. */
  abstract readonly note: string;

  abstract readonly author: string;

  /** Digest of the proposal, by which a repeat is recognised. */
  abstract readonly content: string;

  /** The version that the note was written against, if the note names one. */
  readonly base: number | undefined = undefined;

  /** Why the proposal cannot follow `latest`, the note's latest version; undefined if it can. */
  abstract preconditionProblem(latest: IndexedVersion | undefined): Problem | undefined;

  /** Computes the change; `effect` is what an already accepted note has changed so far. */
  abstract evaluate(configuration: Configuration, effect: Effect | undefined): Evaluation;
}

/** A proposal that contains a whole release note. */
abstract class NoteProposal extends Proposal {
  readonly note: string;

  readonly author: string;

  readonly content: string;

  override readonly base: number | undefined;

  constructor(protected readonly releaseNote: ReleaseNote) {
    super();
    this.note = releaseNote.id;
    this.author = releaseNote.author;
    this.content = digestOf(releaseNote);
    this.base = releaseNote.base;
  }
}

export class Submission extends NoteProposal {
  readonly action = 'submit';

  preconditionProblem(latest: IndexedVersion | undefined): Problem | undefined {
    if (!latest) return undefined;
    return {
      path: 'id',
      message: `was accepted as version ${latest.number} with other content; amend it`,
    };
  }

  evaluate(configuration: Configuration): Evaluation {
    return evaluate(this.releaseNote, configuration);
  }
}

export class Amendment extends NoteProposal {
  readonly action = 'amend';

  preconditionProblem(latest: IndexedVersion | undefined): Problem | undefined {
    return notActiveProblem(latest);
  }

  evaluate(configuration: Configuration, effect: Effect): Evaluation {
    return evaluateAmendment(this.releaseNote, effect, configuration);
  }
}

export class Withdrawal extends Proposal {
  readonly action = 'withdraw';

  readonly content: string;

  constructor(
    readonly note: string,
    readonly author: string,
  ) {
    super();
    this.content = digestOf({ withdraw: note });
  }

  preconditionProblem(latest: IndexedVersion | undefined): Problem | undefined {
    return notActiveProblem(latest);
  }

  evaluate(configuration: Configuration, effect: Effect): Evaluation {
    return evaluateWithdrawal(effect, configuration);
  }
}

function notActiveProblem(latest: IndexedVersion | undefined): Problem | undefined {
  if (!latest) return { path: 'id', message: 'no note with this id was accepted; submit it first' };
  if (latest.action !== 'withdraw') return undefined;
  return { path: 'id', message: `was withdrawn by version ${latest.number}; submit a new note` };
}
