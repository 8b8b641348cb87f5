/** How child processes ended, and whether anybody asked them to. */

/** A signal that asked a process to end. */
export interface EndRequest {
  readonly signal: 'SIGTERM' | 'SIGKILL';
  /** In milliseconds since the epoch, as all instants. */
  readonly at: number;
}

export interface ProcessEnd {
  readonly name: string;
  readonly pid: number;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Undefined if a signal ended the process. */
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
  readonly requests: readonly EndRequest[];
  /**
   * Whether a signal came before the program could catch it: Node sets the default effect of all
   * signals as it starts. No port was open then, so no request was in flight.
   */
  readonly isBeforeFirstLine: boolean;
  /** The last lines of its log, oldest first. */
  readonly lines: readonly string[];
}

/** Whether it ended by a signal that it was sent to end it, or with code 0 after `SIGTERM`. */
export function isAsked({ code, signal, requests }: ProcessEnd): boolean {
  if (signal !== undefined) return requests.some((request) => request.signal === signal);
  return code === 0 && requests.some((request) => request.signal === 'SIGTERM');
}

export function describeEnd(end: ProcessEnd): string {
  const { name, pid, code, signal, requests, startedAt, endedAt, lines } = end;
  const how = signal === undefined ? `exit code ${code}` : `signal ${signal}`;
  const asked = requests.map((request) => `${request.signal} ${since(endedAt, request.at)} before`);
  const age = since(endedAt, startedAt);
  const last = lines.at(-1) ?? 'none';
  return `${name} (pid ${pid}): ${how}, ${age} old, asked: ${asked.join(', ') || 'no'}, last line: ${last}`;
}

function since(at: number, from: number): string {
  return `${Math.round(at - from)} ms`;
}
