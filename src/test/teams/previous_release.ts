/** A process of the release before teams: it reads messages and values that hold a team as its schema would. */
import * as z from 'zod';
import { Limit, Route, Rule, Upstream } from '../../contracts.js';
import { Link } from '../../link/link.js';
import { type KeyRange, type Platform, type Stored } from '../../platform/platform.js';
import { InterruptiblePlatform } from '../../standins/interruptible_platform.js';
import { Gate } from '../../standins/gate.js';
import { type Clock } from '../../runtime/clock.js';
import { type OtherRelease } from '../distribution/test_fleet.js';

/** The schema of resources of the release before teams. */
export const PreviousResource = z.discriminatedUnion('kind', [
  Upstream,
  Limit,
  Rule,
  Route.omit({ public: true }),
]);

/**
 * Renames what the previous schema does not know to what no schema knows, so that the process of today
 * that stands for the previous release reads it alike.
 */
function asRead<T>(value: T): T {
  const text = JSON.stringify(value);
  return JSON.parse(
    text
      .replaceAll(/(\\*"kind\\*":\\*")team/g, '$1unknown-kind')
      .replaceAll(/(\\*")team\//g, '$1unknown-kind/')
      .replaceAll(/(\\*")public(\\*":)/g, '$1unknown-field$2'),
  ) as T;
}

class PreviousLink extends Link {
  constructor(private readonly inner: Link) {
    super();
  }

  get closed(): AbortSignal {
    return this.inner.closed;
  }

  get bytesSent(): number {
    return this.inner.bytesSent;
  }

  get bytesReceived(): number {
    return this.inner.bytesReceived;
  }

  send(message: unknown): void {
    this.inner.send(message);
  }

  receive(receiver: (message: unknown) => void): void {
    this.inner.receive((message) => receiver(asRead(message)));
  }

  close(): void {
    this.inner.close();
  }
}

class PreviousPlatform extends InterruptiblePlatform {
  override async list(range: KeyRange, deadline: number): Promise<Stored[]> {
    return asRead(await super.list(range, deadline));
  }

  override async watch(range: KeyRange, deadline: number, signal?: AbortSignal) {
    return asRead(await super.watch(range, deadline, signal));
  }
}

export function previousRelease(clock: Clock): OtherRelease {
  return {
    link: (link) => new PreviousLink(link),
    platform: (platform: Platform) =>
      new PreviousPlatform(platform, clock, new Gate(), () => false),
  };
}
