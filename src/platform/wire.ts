/** Header names and value formats of the platform, each decoded here and nowhere else. */
import * as z from 'zod';
import { parseFactor } from '../admission/load.js';

/** Time that the caller will still wait, in milliseconds. */
export const TIMEOUT_HEADER = 'barleyhaven-timeout-ms';
/** Id that the caller gives to one attempt; upstream instances echo it. */
export const REQUEST_ID_HEADER = 'barleyhaven-request-id';
/** On answers: proves to callers that the upstream instance itself gave the answer. */
export const SIGNATURE_HEADER = 'barleyhaven-response-signature';
/** Id of the only instance that may run the request. */
export const TARGET_HEADER = 'barleyhaven-target-instance';
/** Name of the service that the request came from. */
export const CALLER_HEADER = 'barleyhaven-caller-service';
/** On answers: the request was not run. */
export const NOT_EXECUTED_HEADER = 'barleyhaven-not-executed';
/** Name of the team that the caller's key belongs to. */
export const TEAM_HEADER = 'barleyhaven-tenant';
/**
 * On answers: numbers of running requests, waiting requests and slots, separated by commas. Some
 * instances add how long work takes on their machine at this moment, in percent of the usual time.
 */
export const LOAD_HEADER = 'barleyhaven-server-load';
/** On answers: id of the answering instance. */
export const INSTANCE_HEADER = 'barleyhaven-instance-id';
/** On answers: requests per second that the instance takes from all machines together. */
export const RATE_LIMIT_HEADER = 'server-limit';
/** On answers: `1` if the instance is leaving. */
export const LEAVING_HEADER = 'server-leaving';

const MS_PER_SECOND = 1_000;
const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/;

const SLOWNESS = /^\d{1,6},\d{1,6},\d{1,6},(\d{2,5})$/;

/** The fourth figure of a load header as a factor, 1 as usual; undefined if absent or invalid. */
export function parseSlowness(load: string | undefined): number | undefined {
  return parseFactor(SLOWNESS.exec(load ?? '')?.[1]);
}

/** A duration such as `1500ms` or `2.5s`, decoded to milliseconds. */
export const Duration = z
  .string()
  .regex(DURATION)
  .transform((text) => {
    const [, amount, unit] = DURATION.exec(text)!;
    return unit === 's' ? Number(amount) * MS_PER_SECOND : Number(amount);
  });

/** A version such as `r12`, decoded to its number. */
export const VersionTag = z
  .string()
  .regex(/^r\d+$/)
  .transform((text) => Number(text.slice(1)));

/** An IPv4 address and a port, such as `10.1.0.41:8628`. */
export const HostPort = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return { host, port: Number(port) };
  });
