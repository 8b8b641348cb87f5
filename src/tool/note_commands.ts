/** The commands that hand in, change, take back and check release notes. */
import { open } from 'node:fs/promises';
import { MAX_NOTE_BYTES, OutcomeError } from '../contracts.js';
import { parseNote } from '../source/note_text.js';
import { type Acceptance, type Check } from '../source/acceptance.js';
import { Client } from './client.js';
import { EXIT } from './exit.js';
import { type Options, print } from './output.js';
import { renderAcceptance, renderCheck } from './render_acceptance.js';

export function submit(file: string, options: Options): Promise<number> {
  return handIn('submit', file, options);
}

export function amend(file: string, options: Options): Promise<number> {
  return handIn('amend', file, options);
}

export async function withdraw(
  note: string,
  options: Options & { readonly author?: string },
): Promise<number> {
  if (options.author === undefined) {
    process.stderr.write('withdraw needs --author NAME\n');
    return EXIT.usage;
  }
  // The command line's parser turns what looks like a number into one.
  const params = { note: String(note), author: String(options.author) };
  const acceptance = await new Client(options.address).call<Acceptance>('withdraw', params);
  return tell(acceptance, options);
}

/** Checks the note by itself and, if an address was given, against the head of the log. */
export async function check(
  file: string,
  options: Options & { readonly amend?: boolean },
): Promise<number> {
  const text = await readText(file);
  const reading = parseNote(text);
  if ('problems' in reading) {
    const { problems } = reading;
    return print({ outcome: 'refused', problems } as const, EXIT.refused, options, renderCheck);
  }
  if (options.to === undefined) {
    return print({ outcome: 'valid' } as const, EXIT.ok, options, renderCheck);
  }
  const action = options.amend ? 'amend' : 'submit';
  const result = await new Client(options.to).call<Check>('check', { text, action });
  return print(result, exitOf(result), options, renderCheck);
}

/**
 * The text goes to the process even if it cannot be read here, so that the refusal is audited.
 * Where the process cannot be reached either, what was found here is told all the same.
 */
async function handIn(action: 'submit' | 'amend', file: string, options: Options): Promise<number> {
  const text = await readText(file);
  try {
    return tell(await new Client(options.address).call<Acceptance>(action, { text }), options);
  } catch (error) {
    const reading = parseNote(text);
    if (!(error instanceof OutcomeError) || 'note' in reading) throw error;
    process.stderr.write(`the refusal may not be audited: ${error.message}\n`);
    return tell({ outcome: 'refused', problems: reading.problems }, options);
  }
}

function tell(acceptance: Acceptance, options: Options): number {
  return print(acceptance, exitOf(acceptance), options, renderAcceptance);
}

function exitOf({ outcome }: { readonly outcome: Check['outcome'] }): number {
  if (outcome === 'refused') return EXIT.refused;
  return outcome === 'conflict' ? EXIT.conflict : EXIT.ok;
}

/** Reads no more than shows that a text is too long. */
async function readText(file: string): Promise<string> {
  const handle = await open(file);
  try {
    const buffer = Buffer.alloc(MAX_NOTE_BYTES + 1);
    let length = 0;
    while (length < buffer.length) {
      const { bytesRead } = await handle.read(buffer, length);
      if (bytesRead === 0) break;
      length += bytesRead;
    }
    return buffer.toString('utf8', 0, length);
  } finally {
    await handle.close();
  }
}
