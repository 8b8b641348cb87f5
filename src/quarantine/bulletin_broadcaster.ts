/** Distributes deaths and clearances to all processes over the links. */
import { type Bulletin } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { BULLETIN } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Quarantine } from './quarantine.js';

/**
 * Forwards new items to all peers but the one they came from; items already known are not forwarded.
 * A peer gets everything known when its link opens. A link delivers messages in order, so a clearance
 * never overtakes the death that it clears a request of.
 */
export class BulletinBroadcaster {
  readonly quarantine: Quarantine;

  constructor(
    private readonly mesh: Pick<Mesh, 'peers' | 'onOpen'>,
    methods: Methods,
    clock: Clock,
    random: Random,
  ) {
    this.quarantine = new Quarantine(clock, random, (bulletin) => this.#notifyPeers(bulletin));
    methods.on(BULLETIN, (peer, bulletin) =>
      this.#notifyPeers(this.quarantine.merge(bulletin), peer),
    );
    mesh.onOpen((peer) => {
      if (!this.quarantine.isIdle) peer.notify(BULLETIN, this.quarantine.snapshot());
    });
  }

  #notifyPeers(bulletin: Bulletin, from?: Peer): void {
    if (bulletin.deaths.length + bulletin.clearances.length === 0) return;
    for (const peer of this.mesh.peers) {
      if (peer !== from) peer.notify(BULLETIN, bulletin);
    }
  }
}
