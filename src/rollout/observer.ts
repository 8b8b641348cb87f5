/** What a guard tells of the work that it has given to its endpoint. */

/** How work that an endpoint was given ended there. */
export interface Ran {
  readonly isFailure: boolean;
  /** Time until its answer began, in milliseconds; undefined if it says nothing of the version. */
  readonly tookMs: number | undefined;
}

export abstract class Observer {
  /** Whether the version of the endpoint must get nothing any more. */
  abstract get isShut(): boolean;

  /** Runs work at the endpoint, and notes how it ends. */
  abstract observe<T extends Ran>(route: string, work: () => Promise<T>): Promise<T>;
}
