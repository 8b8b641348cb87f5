/** What operators hand in: a new note, an amendment or a withdrawal. */
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
import { type Mention } from './note_index.js';

/** One thing to be accepted as the next version, or refused. */
export abstract class Proposal {
  abstract readonly action: Action;

  /** Id of the release note it is about. */
  abstract readonly note: string;

  abstract readonly author: string;

  /** Digest of what was handed in; handing the same in again is recognised by it. */
  abstract readonly content: string;

  /** The version its author looked at, if the note says so. */
  readonly base: number | undefined = undefined;

  /** Why it cannot follow `latest`, the note's latest version, if it cannot. */
  abstract misplaced(latest: Mention | undefined): Problem | undefined;

  /** Works out its change; `effect` is what the note has done so far, if it was accepted before. */
  abstract evaluate(configuration: Configuration, effect: Effect | undefined): Evaluation;
}

/** A proposal that carries a whole release note. */
abstract class NoteProposal extends Proposal {
  readonly note: string;

  readonly author: string;

  readonly content: string;

  override readonly base: number | undefined;

  constructor(protected readonly text: ReleaseNote) {
    super();
    this.note = text.id;
    this.author = text.author;
    this.content = digestOf(text);
    this.base = text.base;
  }
}

export class Submission extends NoteProposal {
  readonly action = 'submit';

  misplaced(latest: Mention | undefined): Problem | undefined {
    if (!latest) return undefined;
    return {
      path: 'id',
      message: `was accepted as version ${latest.number} with other content; amend it`,
    };
  }

  evaluate(configuration: Configuration): Evaluation {
    return evaluate(this.text, configuration);
  }
}

export class Amendment extends NoteProposal {
  readonly action = 'amend';

  misplaced(latest: Mention | undefined): Problem | undefined {
    return notStanding(latest);
  }

  evaluate(configuration: Configuration, effect: Effect): Evaluation {
    return evaluateAmendment(this.text, effect, configuration);
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

  misplaced(latest: Mention | undefined): Problem | undefined {
    return notStanding(latest);
  }

  evaluate(configuration: Configuration, effect: Effect): Evaluation {
    return evaluateWithdrawal(effect, configuration);
  }
}

function notStanding(latest: Mention | undefined): Problem | undefined {
  if (!latest) return { path: 'id', message: 'no note of this id was accepted; submit it' };
  if (latest.action !== 'withdraw') return undefined;
  return { path: 'id', message: `was withdrawn by version ${latest.number}; submit a new note` };
}
