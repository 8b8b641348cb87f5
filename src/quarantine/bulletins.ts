/** Floods deaths and clearances over the links, and tells them to processes that start. */
import { type Bulletin } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { BULLETIN } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Quarantine } from './quarantine.js';

/**
 * What is news goes on to all peers but the one it came from; what is known already stops there.
 * A link carries messages in order, so that a clearance never overtakes the death it clears of.
 */
export class Bulletins {
  readonly quarantine: Quarantine;

  constructor(
    private readonly mesh: Pick<Mesh, 'peers' | 'onOpen'>,
    methods: Methods,
    clock: Clock,
    random: Random,
  ) {
    this.quarantine = new Quarantine(clock, random, (bulletin) => this.#send(bulletin));
    methods.on(BULLETIN, (peer, bulletin) => this.#send(this.quarantine.merge(bulletin), peer));
    mesh.onOpen((peer) => {
      if (!this.quarantine.isIdle) peer.notify(BULLETIN, this.quarantine.bulletin());
    });
  }

  #send(bulletin: Bulletin, from?: Peer): void {
    if (bulletin.deaths.length + bulletin.clearances.length === 0) return;
    for (const peer of this.mesh.peers) {
      if (peer !== from) peer.notify(BULLETIN, bulletin);
    }
  }
}
