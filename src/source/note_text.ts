/** Parses release notes from YAML, and so from JSON, which is a subset of YAML. */
import { parseDocument } from 'yaml';
import { MAX_NOTE_BYTES, type Problem, ReleaseNote } from '../contracts.js';

/** A release note, or all problems of the text; `data` is what could be parsed of it. */
export type ParsedNote =
  | { readonly note: ReleaseNote }
  | { readonly problems: readonly Problem[]; readonly data?: unknown };

export function parseNote(text: string): ParsedNote {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_NOTE_BYTES) {
    const message = `is ${bytes} bytes long, at most ${MAX_NOTE_BYTES} are allowed`;
    return { problems: [{ path: 'note', message }] };
  }
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    // Below the first line the library adds an excerpt of the text.
    const messages = document.errors.map(({ message }) => message.split(/:?\n/)[0]!);
    return { problems: messages.map((message) => ({ path: 'yaml', message })) };
  }
  try {
    return checkNote(document.toJS());
  } catch (error) {
    // The library refuses excessive alias expansion while it expands the aliases.
    return { problems: [{ path: 'yaml', message: String(error) }] };
  }
}

/** Validates parsed data against the schema of release notes. */
export function checkNote(data: unknown): ParsedNote {
  const parsed = ReleaseNote.safeParse(data);
  if (parsed.success) return { note: parsed.data };
  const problems = parsed.error.issues.flatMap((issue) => {
    const path = issue.path.join('.');
    if (issue.code !== 'unrecognized_keys')
      return [{ path: path || 'note', message: issue.message }];
    return issue.keys.map((key) => ({
      path: path === '' ? key : `${path}.${key}`,
      message: 'is not a known field',
    }));
  });
  return { problems, data };
}
