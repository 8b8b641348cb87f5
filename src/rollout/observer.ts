/** Interface through which a guard reports how its endpoint answers. */

/** How a request ended at an endpoint. */
export interface ObservedAnswer {
  readonly isFailure: boolean;
  /** Time until the answer began, in milliseconds; undefined if it must not be used to judge the version. */
  readonly tookMs: number | undefined;
}

export abstract class Observer {
  /** Whether the version of the endpoint must not get any requests. */
  abstract get isShut(): boolean;

  /** Runs `work` at the endpoint, and records how it ends. */
  abstract observe<T extends ObservedAnswer>(route: string, work: () => Promise<T>): Promise<T>;
}
