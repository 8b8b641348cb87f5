/** The JSON-RPC methods that a process offers to operators and their tool. */
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import * as z from 'zod';
import { AuditCursor, OutcomeError } from '../contracts.js';
import { checkNote, parseNote, type Reading } from '../source/note_text.js';
import { attemptOf } from '../source/source.js';
import { type Instance } from './instance.js';
import { statusOf } from './status.js';

const ACCEPT_TIMEOUT_MS = 10_000;
/** JSON-RPC error code for calls whose outcome is told by a verdict. */
export const OUTCOME_CODE = -32_000;

/** The text of a release note, so that one that cannot be read is refused and audited as well. */
const Text = z.strictObject({ text: z.string() });
const Withdrawn = z.strictObject({ note: z.string(), author: z.string().min(1).max(200) });
const Checked = z.strictObject({ text: z.string(), action: z.enum(['submit', 'amend']) });
const About = z.strictObject({ note: z.string().optional() });
const History = z.strictObject({ note: z.string().optional(), cursor: AuditCursor.optional() });

/** The parts of a process that operators act on. */
export type Operated = Pick<
  Instance,
  'source' | 'acceptsNotes' | 'surroundings' | 'replica' | 'surveyor' | 'roster' | 'rollouts'
>;

export function operatorMethods(instance: Operated): JSONRPCServer {
  const { source, surroundings, roster } = instance;
  const deadline = () => surroundings.clock.now() + ACCEPT_TIMEOUT_MS;
  const methods = new OperatorMethods();
  const refuseElsewhere = () => {
    if (instance.acceptsNotes) return;
    const props = { verdict: 'not-run', reason: 'no-log' } as const;
    throw new OutcomeError('the configuration is accepted elsewhere', props);
  };
  const handIn = async (action: 'submit' | 'amend', params: unknown) => {
    refuseElsewhere();
    const reading = readingOf(params);
    if ('note' in reading) return source[action](reading.note, deadline());
    return source.refuse(attemptOf(action, reading.data), reading.problems);
  };
  methods.on('submit', z.unknown(), (params) => handIn('submit', params));
  methods.on('amend', z.unknown(), (params) => handIn('amend', params));
  methods.on('withdraw', Withdrawn, async ({ note, author }) => {
    refuseElsewhere();
    return source.withdraw(note, author, deadline());
  });
  methods.on('check', Checked, async ({ text, action }) => {
    const reading = parseNote(text);
    if (!('note' in reading)) return { outcome: 'refused', problems: reading.problems };
    return source.check(reading.note, action, deadline());
  });
  methods.on('audit', History, async ({ note, cursor }) => {
    const { entries, next } = await source.history(deadline(), cursor);
    const wanted = entries.filter((entry) => note === undefined || entry.note === note);
    return { entries: wanted, ...(next && { next }) };
  });
  methods.on('status', About, ({ note }) => statusOf(instance, note));
  methods.on('fleet', z.unknown(), async () => roster.all());
  return methods.server;
}

/** Takes a note as text, or as the object that the text would give. */
function readingOf(params: unknown): Reading {
  const text = Text.safeParse(params);
  return text.success ? parseNote(text.data.text) : checkNote(params);
}

class OperatorMethods {
  readonly server = new JSONRPCServer({ errorListener: () => {} });

  on<T>(name: string, schema: z.ZodType<T>, handler: (params: T) => Promise<unknown>): void {
    this.server.addMethod(name, async (given: unknown) => {
      const params = schema.safeParse(given);
      if (!params.success) throw refusal(z.prettifyError(params.error), 'not-run', 'parameters');
      try {
        return await handler(params.data);
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw refusal(String(error), 'may-have-run', 'fault');
        throw refusal(error.message, error.verdict, error.reason);
      }
    });
  }
}

function refusal(message: string, verdict: string, reason: string): JSONRPCErrorException {
  return new JSONRPCErrorException(message, OUTCOME_CODE, { verdict, reason });
}
