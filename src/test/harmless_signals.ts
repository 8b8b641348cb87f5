/** Signals that must not end a process; their default effect is to end it, or to open Node's inspector. */
export const HARMLESS_SIGNALS = [
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGQUIT',
  'SIGALRM',
  'SIGVTALRM',
  'SIGIO',
  'SIGPWR',
  'SIGSTKFLT',
  'SIGXCPU',
  'SIGPIPE',
] as const satisfies readonly NodeJS.Signals[];
