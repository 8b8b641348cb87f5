/** Reads release notes from YAML files. */
import { readFile } from 'node:fs/promises';
import { parseDocument } from 'yaml';
import { type Problem } from '../configuration/validate.js';
import { ReleaseNote } from '../contracts.js';

/** A release note, or all that is wrong with the text. */
export type Reading = { readonly note: ReleaseNote } | { readonly problems: readonly Problem[] };

export async function readNote(file: string): Promise<Reading> {
  return parseNote(await readFile(file, 'utf8'));
}

export function parseNote(text: string): Reading {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    return { problems: document.errors.map(({ message }) => ({ path: 'yaml', message })) };
  }
  const parsed = ReleaseNote.safeParse(document.toJS());
  if (parsed.success) return { note: parsed.data };
  return {
    problems: parsed.error.issues.map(({ path, message }) => ({
      path: path.join('.') || 'note',
      message,
    })),
  };
}
