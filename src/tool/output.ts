/** What the tool prints. */

/** Options that all commands share. */
export interface Options {
  /** Where to ask, from the flag, the environment or the default. */
  readonly address: string;
  /** The same, only if the flag was given. */
  readonly to?: string;
  readonly json?: boolean;
}

/** Prints a value as JSON, or as `render` puts it; returns the exit code. */
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
