/** How versions are propagated, and how soon; set for a whole deployment. */

export abstract class Profile {
  /** Whether versions are pushed to the children; otherwise the children pull them. */
  abstract readonly pushes: boolean;

  /** How long versions are batched before the children are told, in milliseconds. */
  abstract readonly batchWindowMs: number;

  /** How long a process that is behind waits for a push before it pulls, in milliseconds. */
  abstract readonly pushWaitMs: number;
}

/** Favours fast convergence: pushes each version at once, with its whole change. */
export class ConvergenceProfile extends Profile {
  readonly pushes = true;

  readonly batchWindowMs = 0;

  readonly pushWaitMs = 100;
}

/** Favours few bytes: batches versions, announces them, and lets each child pull what it lacks. */
export class BytesProfile extends Profile {
  readonly pushes = false;

  readonly batchWindowMs = 300;

  readonly pushWaitMs = 100;
}
