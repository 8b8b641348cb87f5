/** JSON-RPC methods for operators and their tool. */
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import * as z from 'zod';
import { AuditCursor, OutcomeError } from '../contracts.js';
import { type Replica } from '../distribution/replica.js';
import { type Surveyor } from '../distribution/surveyor.js';
import { type Roster } from '../membership/roster.js';
import { type Quota } from '../quota/quota.js';
import { type Orders } from '../rollout/orders.js';
import { type Clock } from '../runtime/clock.js';
import { checkNote, parseNote, type ParsedNote } from '../source/note_text.js';
import { attemptOf, type Source } from '../source/source.js';
import { statusOf } from './status.js';
import { teamsOf } from './teams.js';

const CALL_TIMEOUT_MS = 10_000;
/** JSON-RPC error code for failed calls; the error data holds their verdict and reason. */
export const OUTCOME_ERROR_CODE = -32_000;

/** A release note as text, so that an unparsable one is refused and audited, too. */
const NoteTextParams = z.strictObject({ text: z.string() });
const WithdrawParams = z.strictObject({ note: z.string(), author: z.string().min(1).max(200) });
const CheckParams = z.strictObject({ text: z.string(), action: z.enum(['submit', 'amend']) });
const StatusParams = z.strictObject({ note: z.string().optional() });
const AuditParams = z.strictObject({ note: z.string().optional(), cursor: AuditCursor.optional() });

/** Parts of a process that the operator methods use. */
export interface OperatedParts {
  readonly clock: Clock;
  readonly source: Source;
  /** Whether this process accepts release notes: its configuration comes from their log. */
  readonly acceptsNotes: boolean;
  readonly replica: Replica;
  readonly roster: Roster;
  readonly surveyor: Surveyor;
  readonly quota: Pick<Quota, 'usage'>;
  /** Absent without a source of rollout orders. */
  readonly orders: Orders | undefined;
}

export function operatorMethods(parts: OperatedParts): JSONRPCServer {
  const { source, clock, roster } = parts;
  const deadline = () => clock.now() + CALL_TIMEOUT_MS;
  const methods = new OperatorMethods();
  const requireAcceptsNotes = () => {
    if (parts.acceptsNotes) return;
    const props = { verdict: 'not-run', reason: 'no-log' } as const;
    throw new OutcomeError(
      'this process accepts no release notes: its configuration comes from another source',
      props,
    );
  };
  const acceptNote = async (action: 'submit' | 'amend', params: unknown) => {
    requireAcceptsNotes();
    const parsed = parseNoteParams(params);
    if ('note' in parsed) return source[action](parsed.note, deadline());
    return source.refuse(attemptOf(action, parsed.data), parsed.problems);
  };
  methods.on('submit', z.unknown(), (params) => acceptNote('submit', params));
  methods.on('amend', z.unknown(), (params) => acceptNote('amend', params));
  methods.on('withdraw', WithdrawParams, async ({ note, author }) => {
    requireAcceptsNotes();
    return source.withdraw(note, author, deadline());
  });
  methods.on('check', CheckParams, async ({ text, action }) => {
    const parsed = parseNote(text);
    if (!('note' in parsed)) return { outcome: 'refused', problems: parsed.problems };
    return source.check(parsed.note, action, deadline());
  });
  methods.on('audit', AuditParams, async ({ note, cursor }) => {
    const { entries, next } = await source.history(deadline(), cursor);
    const matching = entries.filter((entry) => note === undefined || entry.note === note);
    return { entries: matching, ...(next && { next }) };
  });
  methods.on('status', StatusParams, ({ note }) => statusOf(parts, note));
  methods.on('fleet', z.unknown(), async () => roster.all());
  methods.on('teams', z.unknown(), async () => teamsOf(parts.replica, parts.quota));
  return methods.server;
}

/** Parses a release note that is given as YAML text or as the equivalent object. */
function parseNoteParams(params: unknown): ParsedNote {
  const text = NoteTextParams.safeParse(params);
  return text.success ? parseNote(text.data.text) : checkNote(params);
}

class OperatorMethods {
  readonly server = new JSONRPCServer({ errorListener: () => {} });

  on<T>(name: string, schema: z.ZodType<T>, handler: (params: T) => Promise<unknown>): void {
    this.server.addMethod(name, async (given: unknown) => {
      const params = schema.safeParse(given);
      if (!params.success) throw rpcError(z.prettifyError(params.error), 'not-run', 'parameters');
      try {
        return await handler(params.data);
      } catch (error) {
        if (!(error instanceof OutcomeError))
          throw rpcError(String(error), 'may-have-run', 'fault');
        throw rpcError(error.message, error.verdict, error.reason);
      }
    });
  }
}

function rpcError(message: string, verdict: string, reason: string): JSONRPCErrorException {
  return new JSONRPCErrorException(message, OUTCOME_ERROR_CODE, { verdict, reason });
}
