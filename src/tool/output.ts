/** Output of the commands, and the options that they share. */

export interface Options {
  /** `host:port` of the process to call: from the flag, the environment or the default. */
  readonly address: string;
  /** The value of the flag `--to`, if it was given. */
  readonly to?: string;
  readonly json?: boolean;
}

/** Prints a value as JSON, or as rendered by `render`; returns `code`, the exit code. */
export function print<T>(
  value: T,
  code: number,
  options?: Pick<Options, 'json'>,
  render?: Render<T>,
): number {
  const text = options?.json || !render ? JSON.stringify(value, undefined, 2) : render(value);
  process.stdout.write(`${text}\n`);
  return code;
}

type Render<T> = (value: T) => string;
