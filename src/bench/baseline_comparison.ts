/** Measures the daemon and the baseline in the same run, one after the other. */
import { type Clock } from '../runtime/clock.js';
import {
  BaselineDeployment,
  type Deployment,
  type DeploymentOptions,
  DaemonDeployment,
} from './deployment.js';
import { type Options } from './experiment.js';

/** Number of services at the design size, each with an upstream, a limit and routes. */
export const SERVICES = 110;
const DATA_CENTRES = 5;

/** Measures a deployment of each kind; the first is stopped before the second starts. */
export async function compareWithBaseline<T>(
  clock: Clock,
  { processes, progress }: Options,
  profile: DeploymentOptions['profile'],
  measure: (deployment: DaemonDeployment | BaselineDeployment) => Promise<T>,
): Promise<{ daemons: T; baseline: T }> {
  const shape = { processes, dataCentres: DATA_CENTRES, profile, services: SERVICES };
  progress(`starting ${processes} daemons`);
  const daemons = await openAndMeasure(new DaemonDeployment(shape, clock), measure);
  progress(`starting ${processes} baseline proxies`);
  const baseline = await openAndMeasure(new BaselineDeployment(shape, clock), measure);
  return { daemons, baseline };
}

async function openAndMeasure<D extends Deployment, T>(
  opened: D,
  measure: (deployment: D) => Promise<T>,
): Promise<T> {
  await using deployment = opened;
  await deployment.open();
  return await measure(deployment);
}
