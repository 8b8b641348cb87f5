/** How soon versions travel, and how: set for a whole deployment. */

export abstract class Profile {
  /** Whether versions are sent to the children unasked; they are pulled otherwise. */
  abstract readonly pushes: boolean;

  /** How long versions are gathered before the children hear of them, in milliseconds. */
  abstract readonly gatherMs: number;

  /** How long a process that is behind waits for a push before it pulls, in milliseconds. */
  abstract readonly patienceMs: number;
}

/** Convergence first: push at once, the whole change. */
export class ConvergenceProfile extends Profile {
  readonly pushes = true;

  readonly gatherMs = 0;

  readonly patienceMs = 100;
}

/** Bytes first: gather several versions, say so, and let each child pull what it lacks. */
export class BytesProfile extends Profile {
  readonly pushes = false;

  readonly gatherMs = 300;

  readonly patienceMs = 100;
}
