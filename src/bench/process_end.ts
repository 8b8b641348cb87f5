/** How child processes ended, and whether anybody asked them to. */

/** A signal that was sent to a process. */
export interface SentSignal {
  readonly signal: NodeJS.Signals;
  /** In milliseconds since the epoch, as all instants. */
  readonly at: number;
  /** How long the process had waited for a processor until then, in milliseconds. */
  readonly waitedMs: number;
}

export interface ProcessEnd {
  readonly name: string;
  readonly pid: number;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Undefined if a signal ended the process. */
  readonly code: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
  /** Oldest first. */
  readonly signals: readonly SentSignal[];
  /** How long it had waited for a processor at its end, as far as known, in milliseconds. */
  readonly waitedMs: number;
  /**
   * Whether a signal came before the program could catch it: Node sets the default effect of all
   * signals as it starts. No port was open then, so no request was in flight.
   */
  readonly isBeforeFirstLine: boolean;
  /** The last lines of its log, oldest first. */
  readonly lines: readonly string[];
}

/** Whether it ended by a signal that it was sent to end it, or with code 0 after `SIGTERM`. */
export function isAsked(end: ProcessEnd): boolean {
  const requests = endRequests(end).map(({ signal }) => signal);
  if (end.signal !== undefined) return requests.includes(end.signal);
  return end.code === 0 && requests.includes('SIGTERM');
}

/** The signals that asked it to end. */
export function endRequests({ signals }: ProcessEnd): SentSignal[] {
  return signals.filter(({ signal }) => signal === 'SIGTERM' || signal === 'SIGKILL');
}

export function describeEnd(end: ProcessEnd): string {
  const { name, pid, code, signal, signals, startedAt, endedAt, lines } = end;
  const how = signal === undefined ? `exit code ${code}` : `signal ${signal}`;
  const sent = signals.map(
    (one) =>
      `${one.signal} ${since(endedAt, one.at)} before (waited ${Math.round(one.waitedMs)} ms)`,
  );
  const age = since(endedAt, startedAt);
  const last = lines.at(-1) ?? 'none';
  return `${name} (pid ${pid}): ${how}, ${age} old, got ${sent.join(', ') || 'no signal'}, last line: ${last}`;
}

function since(at: number, from: number): string {
  return `${Math.round(at - from)} ms`;
}
