/** Ours and the baseline in the same run, one after the other, at the users' size. */
import { type Clock } from '../runtime/clock.js';
import { Baseline, type Deployment, type DeploymentOptions, Ours } from './deployment.js';
import { type Options } from './experiment.js';

/** Services of the design size, each with its upstream, limit and routes. */
export const SERVICES = 110;
const DATA_CENTRES = 5;

/** Measures a deployment of each kind; each is gone before the other one starts. */
export async function sideBySide<T>(
  clock: Clock,
  { processes, progress }: Options,
  profile: DeploymentOptions['profile'],
  measure: (deployment: Ours | Baseline) => Promise<T>,
): Promise<{ own: T; theirs: T }> {
  const shape = { processes, dataCentres: DATA_CENTRES, profile, services: SERVICES };
  progress(`starting ${processes} daemons`);
  const own = await measured(new Ours(shape, clock), measure);
  progress(`starting ${processes} proxies of the baseline`);
  const theirs = await measured(new Baseline(shape, clock), measure);
  return { own, theirs };
}

async function measured<D extends Deployment, T>(
  opened: D,
  measure: (deployment: D) => Promise<T>,
): Promise<T> {
  await using deployment = opened;
  await deployment.open();
  return await measure(deployment);
}
