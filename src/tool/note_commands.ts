/** The commands that submit, amend, withdraw and check release notes. */
import { open } from 'node:fs/promises';
import { MAX_NOTE_BYTES, OutcomeError } from '../contracts.js';
import { parseNote } from '../source/note_text.js';
import { type Acceptance, type Check } from '../source/acceptance.js';
import { Client } from './client.js';
import { EXIT } from './exit.js';
import { type Options, print } from './output.js';
import { renderAcceptance, renderCheck } from './render_acceptance.js';

export function submit(file: string, options: Options): Promise<number> {
  return submitOrAmend('submit', file, options);
}

export function amend(file: string, options: Options): Promise<number> {
  return submitOrAmend('amend', file, options);
}

export async function withdraw(
  note: string,
  options: Options & { readonly author?: string },
): Promise<number> {
  if (options.author === undefined) {
    process.stderr.write('withdraw requires --author NAME\n');
    return EXIT.usage;
  }
  // The command-line parser converts arguments that look like numbers.
  const params = { note: String(note), author: String(options.author) };
  const acceptance = await new Client(options.address).call<Acceptance>('withdraw', params);
  return printAcceptance(acceptance, options);
}

/** Validates the note locally and, if `--to` was given, against the head of the log. */
export async function check(
  file: string,
  options: Options & { readonly amend?: boolean },
): Promise<number> {
  const text = await readText(file);
  const parsed = parseNote(text);
  if ('problems' in parsed) {
    const { problems } = parsed;
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
 * Sends the text even if it does not parse here, so that the process audits the refusal. If the
 * call fails, the problems found here are printed instead.
 */
async function submitOrAmend(
  action: 'submit' | 'amend',
  file: string,
  options: Options,
): Promise<number> {
  const text = await readText(file);
  try {
    return printAcceptance(
      await new Client(options.address).call<Acceptance>(action, { text }),
      options,
    );
  } catch (error) {
    const parsed = parseNote(text);
    if (!(error instanceof OutcomeError) || 'note' in parsed) throw error;
    process.stderr.write(`the refusal may not be in the audit trail: ${error.message}\n`);
    return printAcceptance({ outcome: 'refused', problems: parsed.problems }, options);
  }
}

function printAcceptance(acceptance: Acceptance, options: Options): number {
  return print(acceptance, exitOf(acceptance), options, renderAcceptance);
}

function exitOf({ outcome }: { readonly outcome: Check['outcome'] }): number {
  if (outcome === 'refused') return EXIT.refused;
  return outcome === 'conflict' ? EXIT.conflict : EXIT.ok;
}

/** Reads at most one byte more than a note may have, enough to detect that it is too long. */
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
