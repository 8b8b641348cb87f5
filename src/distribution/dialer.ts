import { type Link } from '../link/link.js';

/** Opens links; rejects with an `OutcomeError` if the remote end cannot be reached. */
export abstract class Dialer {
  abstract dial(host: string, port: number): Promise<Link>;
}

/** Network address of a process, taken from a member or from the settings. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
