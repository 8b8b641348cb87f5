import { type Link } from '../link/link.js';

/** Opens links; rejects with an `OutcomeError` when the other end is not there. */
export abstract class Dialer {
  abstract dial(host: string, port: number): Promise<Link>;
}

/** Where a process may be found: a member that is known, or an address from the settings. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
