/** Names and units of the platform's wire, each decoded here and nowhere else. */
import * as z from 'zod';

/** Time that the caller still waits, in milliseconds. */
export const TIMEOUT_HEADER = 'barleyhaven-timeout-ms';
/** The caller's name for one attempt; upstream instances echo it. */
export const REQUEST_ID_HEADER = 'barleyhaven-request-id';
/** By which callers see that an answer is the upstream instance's own. */
export const SIGNATURE_HEADER = 'barleyhaven-response-signature';
/** Id of the only instance that is to run the request. */
export const TARGET_HEADER = 'barleyhaven-target-instance';
/** The service beside which the request began. */
export const CALLER_HEADER = 'barleyhaven-caller-service';
/** On answers: the request has not been run. */
export const NOT_EXECUTED_HEADER = 'barleyhaven-not-executed';
/** On answers: running, waiting and slots, separated by commas. */
export const LOAD_HEADER = 'barleyhaven-server-load';
/** On answers: id of the instance that answers. */
export const INSTANCE_HEADER = 'barleyhaven-instance-id';

const MS_PER_SECOND = 1_000;
const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/;

/** A time such as `1500ms` or `2.5s`, in milliseconds. */
export const Duration = z
  .string()
  .regex(DURATION)
  .transform((text) => {
    const [, amount, unit] = DURATION.exec(text)!;
    return unit === 's' ? Number(amount) * MS_PER_SECOND : Number(amount);
  });

/** A version such as `r12`, as its number. */
export const VersionTag = z
  .string()
  .regex(/^r\d+$/)
  .transform((text) => Number(text.slice(1)));

/** An IP number and a port, such as `10.1.0.41:8628`. */
export const HostPort = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return { host, port: Number(port) };
  });
