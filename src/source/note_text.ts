/** Parses release notes from YAML, and so from JSON, which is a subset of YAML. */
import { parseDocument } from 'yaml';
import { AcceptedName, MAX_NOTE_BYTES, type Problem, ReleaseNote } from '../contracts.js';

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
    return { problems: messages.map(yamlProblem) };
  }
  try {
    return checkNote(document.toJS());
  } catch (error) {
    // The library refuses excessive alias expansion while it expands the aliases.
    return { problems: [yamlProblem(String(error))] };
  }
}

/** Text that the library quotes from the note; it may be a key that was listed by mistake. */
const QUOTED = /(?<!^\w+Error): .*?(?= at line \d+, column \d+$|$)/;

function yamlProblem(message: string): Problem {
  return { path: 'yaml', message: message.replace(QUOTED, '') };
}

/** Validates parsed data against the schema of release notes. */
export function checkNote(data: unknown): ParsedNote {
  const parsed = ReleaseNote.safeParse(data);
  if (parsed.success) return { note: parsed.data };
  const problems = parsed.error.issues.flatMap((issue) => {
    const path = pathOf(issue.path, data);
    if (issue.code !== 'unrecognized_keys')
      return [{ path: path || 'note', message: issue.message }];
    return issue.keys.map((key) => ({
      path: path === '' ? key : `${path}.${key}`,
      message: 'is not a known field',
    }));
  });
  return { problems, data };
}

/** Path of a field; teams are named in it, because their keys cannot be told apart by sight. */
function pathOf(path: readonly PropertyKey[], data: unknown): string {
  const [section, kind, index, ...rest] = path;
  if (kind !== 'teams' || index === undefined) return path.join('.');
  const teams = (data as Record<PropertyKey, { teams?: unknown[] }>)[section!]?.teams;
  const name = AcceptedName.safeParse(
    (teams?.[Number(index)] as { name?: unknown } | undefined)?.name,
  );
  if (!name.success) return path.join('.');
  return [section, `team/${name.data}`, ...rest].join('.');
}
