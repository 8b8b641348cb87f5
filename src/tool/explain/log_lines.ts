/** Reads log lines of processes from files or standard input. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { type Readable } from 'node:stream';
import { Line } from '../../logs/events.js';

/** Start of every log line: `level` is the first field. */
const LINE_START = '{"level"';
const STANDARD_INPUT = '-';

export interface LogLines {
  readonly lines: readonly Line[];
  /** Lines that look like log lines of this software but do not parse: truncated, or of another release. */
  readonly unreadable: number;
}

/** Reads the files in order; `-`, or an empty list, means standard input. Rejects if a file is missing. */
export async function readLogLines(files: readonly string[]): Promise<LogLines> {
  const lines: Line[] = [];
  let unreadable = 0;
  for (const file of files.length > 0 ? files : [STANDARD_INPUT]) {
    const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file);
    for await (const text of textsOf(input)) {
      const line = parseLine(text);
      if (line) lines.push(line);
      else if (text.includes('"instance"')) unreadable += 1;
    }
  }
  return { lines, unreadable };
}

/**
 * Parses one log line; undefined if it is none. Skips anything before the line, such as a
 * collector's prefix or the beginning of another, truncated line.
 */
export function parseLine(text: string): Line | undefined {
  const start = text.lastIndexOf(LINE_START);
  if (start < 0) return undefined;
  try {
    const parsed = Line.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

async function* textsOf(input: Readable): AsyncGenerator<string> {
  // The iterator of readline does not end when the input stream fails.
  const failed = new Promise<never>((_, reject) => {
    input.once('error', reject);
  });
  failed.catch(() => {});
  const lines = createInterface({ input, crlfDelay: Infinity })[Symbol.asyncIterator]();
  for (;;) {
    const next = await Promise.race([lines.next(), failed]);
    if (next.done) return;
    yield next.value;
  }
}
