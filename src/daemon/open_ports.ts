/** Opens the ports that other processes have to know before this one joins the fleet. */
import { createServer, type Server } from 'node:net';
import { Uplink } from '../admission/uplink.js';
import { type Member } from '../contracts.js';
import { DisconnectCheck } from '../requests/disconnect_check.js';
import { Guard } from '../requests/guard.js';
import { bind } from './bind.js';
import { type InstanceDependencies } from './dependencies.js';
import { type Settings } from './settings.js';

/** Parts that are created before the instance, with the ports that are already bound. */
export interface OpenPorts {
  readonly guard: Guard;
  /** The network link that carries the responses of entry and guard. */
  readonly uplink: Uplink;
  /** Shared, so that entry and guard check their callers in the same turns of the event loop. */
  readonly disconnectCheck: DisconnectCheck;
  readonly link: Server;
  /** This process, as it introduces itself to others. */
  readonly self: Member;
}

export async function openPorts(
  { uplinkKbps, host, linkPort, guardPort, operatorsPort, instance, dataCentre }: Settings,
  { clock, dialect }: InstanceDependencies,
): Promise<OpenPorts> {
  const uplink = new Uplink(clock, uplinkKbps);
  const disconnectCheck = new DisconnectCheck(clock);
  const guard = new Guard(clock, dialect, uplink, disconnectCheck);
  const link = createServer();
  const boundGuardPort = await bind(guard.server, host, guardPort);
  // The last one, as nobody listens for links before the instance exists: one that was accepted during
  // another wait would never be served, and a reset of it would be an uncaught exception.
  const boundLinkPort = await bind(link, host, linkPort);
  const self: Member = {
    instance,
    dataCentre,
    host,
    linkPort: boundLinkPort,
    guardPort: boundGuardPort,
    operatorsPort,
    incarnation: Math.floor(clock.now()),
    sequence: 0,
    liveness: 'alive',
  };
  return { guard, uplink, disconnectCheck, link, self };
}
