/** Reads lines that processes wrote, from files or standard input. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { type Readable } from 'node:stream';
import { Line } from '../../logs/events.js';

/** How each line begins, since the level is written first. */
const LINE_START = '{"level"';
const STANDARD_INPUT = '-';

/** What was read, and how much of it could not be. */
export interface LogLines {
  readonly lines: readonly Line[];
  /** Lines that look like ours and are not: cut off, or of another release. */
  readonly unreadable: number;
}

/** Reads all files in turn; without any, or for `-`, standard input. Rejects if one is missing. */
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
 * Whatever a collector has put in front of a line is passed over, also the beginning of another
 * line that it has cut off.
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
  // An error of the stream would not end the loop over its lines.
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
