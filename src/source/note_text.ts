/** Reads release notes from YAML, of which JSON is a part. */
import { parseDocument } from 'yaml';
import { MAX_NOTE_BYTES, type Problem, ReleaseNote } from '../contracts.js';

/** A release note, or all that is wrong with the text; `data` is as much of it as can be read. */
export type Reading =
  | { readonly note: ReleaseNote }
  | { readonly problems: readonly Problem[]; readonly data?: unknown };

export function parseNote(text: string): Reading {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_NOTE_BYTES) {
    const message = `is ${bytes} bytes long, at most ${MAX_NOTE_BYTES} are allowed`;
    return { problems: [{ path: 'note', message }] };
  }
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    // The library adds a picture of the place below the first line.
    const messages = document.errors.map(({ message }) => message.split(/:?\n/)[0]!);
    return { problems: messages.map((message) => ({ path: 'yaml', message })) };
  }
  try {
    return checkNote(document.toJS());
  } catch (error) {
    // Aliases that unfold without bound are refused by the library while it unfolds them.
    return { problems: [{ path: 'yaml', message: String(error) }] };
  }
}

/** Checks what was read from a text against the schema. */
export function checkNote(data: unknown): Reading {
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
