/** Commands of the operators' tool. */
import { cac } from 'cac';
import {
  type AuditCursor,
  type AuditEntry,
  type AuditPage,
  type Member,
  OutcomeError,
  type Status,
} from '../contracts.js';
import { Client } from './client.js';
import { EXIT } from './exit.js';
import { readLogLines } from './explain/log_lines.js';
import { renderStory } from './explain/render_story.js';
import { storyOf } from './explain/story.js';
import { accountOf } from './losses/account.js';
import { renderAccount } from './losses/render_account.js';
import { amend, check, submit, withdraw } from './note_commands.js';
import { type Options, print } from './output.js';
import { renderAudit } from './render_audit.js';
import { renderFleet } from './render_fleet.js';
import { renderStatus } from './render_status.js';

const DEFAULT_ADDRESS = '127.0.0.1:8083';

/** Runs one command; resolves to the exit code. */
export async function main(argv: string[], environment: NodeJS.ProcessEnv): Promise<number> {
  const tool = cac('barleyhaven');
  const otherwise = environment.BARLEYHAVEN_TO ?? DEFAULT_ADDRESS;
  const addressed = (command: Command) => withAddress(command, otherwise);
  tool.option('--to <address>', `host:port of a process's operators' port (${DEFAULT_ADDRESS})`);
  tool.option('--json', 'print JSON');
  tool.command('submit <file>', 'hand in a release note').action(addressed(submit));
  tool
    .command('amend <file>', 'replace what the note of the same id says')
    .action(addressed(amend));
  tool
    .command('withdraw <note>', 'take back what a release note has done')
    .option('--author <name>', 'who withdraws it')
    .action(addressed(withdraw));
  tool
    .command('check <file>', 'check a release note; with --to, against the head as well')
    .option('--amend', 'check it as an amendment')
    .action(addressed(check));
  tool
    .command('status [note]', 'where the latest versions, or those of a note, stand')
    .action(addressed(status));
  tool.command('audit [note]', 'who changed what, and when').action(addressed(audit));
  tool.command('fleet', 'the processes known').action(addressed(fleet));
  tool
    .command('explain <id> [...files]', 'what became of a request, from logs; - is standard input')
    .action(explain);
  tool
    .command('losses [...files]', 'where requests were lost, from logs; - is standard input')
    .action(losses);
  tool.help();
  try {
    tool.parse(argv, { run: false });
    if (tool.options.help) return EXIT.ok;
    if (!tool.matchedCommand) {
      tool.outputHelp();
      return EXIT.usage;
    }
    return (await tool.runMatchedCommand()) as number;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    return exitOf(error, tool.matchedCommand?.name ?? '');
  }
}

// Actions take what their command names and the options last, so the parameters differ.

type Command = (...given: any[]) => Promise<number>;

/** Tells the command where to ask: `--to`, or `otherwise`. */
function withAddress(command: Command, otherwise: string): Command {
  return (...given) => {
    const options = given.at(-1) as Options;
    return command(...given.slice(0, -1), { ...options, address: options.to ?? otherwise });
  };
}

/** Commands that change something, so that it matters whether they ran. */
const WRITING = new Set(['submit', 'amend', 'withdraw']);

function exitOf(error: unknown, command: string): number {
  if (error instanceof OutcomeError) {
    const isDoubtful = error.verdict === 'may-have-run' && WRITING.has(command);
    return isDoubtful ? EXIT.unknown : EXIT.failed;
  }
  const isUsage = error instanceof Error && error.name === 'CACError';
  return isUsage ? EXIT.usage : EXIT.failed;
}

async function status(given: string | undefined, options: Options): Promise<number> {
  const note = given === undefined ? undefined : String(given);
  const found = await new Client(options.address).call<Status>('status', { note });
  return print(found, EXIT.ok, options, renderStatus);
}

async function audit(given: string | undefined, options: Options): Promise<number> {
  const note = given === undefined ? undefined : String(given);
  const entries: AuditEntry[] = [];
  for await (const page of trail(new Client(options.address), note)) {
    if (options.json) entries.push(...page);
    else if (page.length > 0) process.stdout.write(`${renderAudit(page)}\n`);
  }
  return options.json ? print(entries, EXIT.ok) : EXIT.ok;
}

/** Reads the audit trail page by page. */
async function* trail(client: Client, note: string | undefined): AsyncGenerator<AuditEntry[]> {
  let cursor: AuditCursor | undefined;
  do {
    const page: AuditPage = await client.call('audit', { note, cursor });
    yield page.entries;
    cursor = page.next;
  } while (cursor);
}

async function fleet(options: Options): Promise<number> {
  const members = await new Client(options.address).call<Member[]>('fleet');
  return print(members, EXIT.ok, options, renderFleet);
}

/** Not found is a failure: the logs that were handed in do not tell of that request. */
async function explain(
  id: string,
  files: readonly string[],
  options: Pick<Options, 'json'>,
): Promise<number> {
  const story = storyOf(String(id), await readLogLines(files.map(String)));
  const code = story.lines.length > 0 ? EXIT.ok : EXIT.failed;
  return print(story, code, options, renderStory);
}

/** Logs without a single count are a failure: nothing can be said of them. */
async function losses(files: readonly string[], options: Pick<Options, 'json'>): Promise<number> {
  const account = accountOf(await readLogLines(files.map(String)));
  const code = account.rows.length > 0 ? EXIT.ok : EXIT.failed;
  return print(account, code, options, renderAccount);
}
