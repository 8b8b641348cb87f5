/** Creates the part of a process that carries out rollouts. */
import { type Log } from '../logs/log.js';
import { Rollouts } from '../rollout/rollouts.js';
import { type Control } from './control.js';
import { type InstanceDependencies } from './dependencies.js';
import { type Settings } from './settings.js';

/** Undefined without a source of rollout orders. */
export function createRollouts(
  { roster, readerRole, mesh, methods, endpointLease }: Control,
  { rolloutShare: allowedShare }: Settings,
  { orders: source, clock, random }: InstanceDependencies,
  log: Log,
): Rollouts | undefined {
  if (!source) return undefined;
  endpointLease.publishesVersion = true;
  return new Rollouts({
    roster,
    readerRole,
    mesh,
    methods,
    clock,
    random,
    log,
    source,
    allowedShare,
  });
}
