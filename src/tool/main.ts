/** Command line of the operators' tool. */
import { cac } from 'cac';
import {
  type AuditCursor,
  type AuditEntry,
  type AuditPage,
  type Member,
  OutcomeError,
  type Status,
  type TeamStatus,
} from '../contracts.js';
import { Client } from './client.js';
import { digestOfInput, refuseArguments } from './digest.js';
import { EXIT, UsageError } from './exit.js';
import { readLogLines } from './explain/log_lines.js';
import { renderTimeline } from './explain/render_timeline.js';
import { buildTimeline } from './explain/timeline.js';
import { buildLossReport } from './losses/loss_report.js';
import { renderLossReport } from './losses/render_loss_report.js';
import { amend, check, submit, withdraw } from './note_commands.js';
import { type Options, print } from './output.js';
import { renderAudit } from './render_audit.js';
import { renderFleet } from './render_fleet.js';
import { renderStatus } from './render_status.js';
import { renderTeams } from './render_teams.js';

const DEFAULT_ADDRESS = '127.0.0.1:8083';

/** Runs one command; resolves to the exit code. */
export async function main(argv: string[], environment: NodeJS.ProcessEnv): Promise<number> {
  const tool = cac('barleyhaven');
  const fallbackAddress = environment.BARLEYHAVEN_TO ?? DEFAULT_ADDRESS;
  const withFallback = (command: Command) => withAddress(command, fallbackAddress);
  tool.option('--to <address>', `host:port of a process's operators' port (${DEFAULT_ADDRESS})`);
  tool.option('--json', 'print JSON');
  tool.command('submit <file>', 'submit a release note').action(withFallback(submit));
  tool
    .command('amend <file>', 'replace the release note of the same id')
    .action(withFallback(amend));
  tool
    .command('withdraw <note>', 'undo the changes of a release note')
    .option('--author <name>', 'name of the person who withdraws it')
    .action(withFallback(withdraw));
  tool
    .command('check <file>', 'check a release note; with --to, also against the latest version')
    .option('--amend', 'check it as an amendment')
    .action(withFallback(check));
  tool
    .command('status [note]', 'show which processes hold the latest versions, or those of a note')
    .action(withFallback(status));
  tool.command('audit [note]', 'show who changed what, and when').action(withFallback(audit));
  tool.command('fleet', 'list the known processes').action(withFallback(fleet));
  tool.command('teams', 'list teams, their quotas and their use').action(withFallback(teams));
  tool.command('digest', 'print the digest of a key, read from standard input').action(digest);
  tool
    .command(
      'explain <id> [...files]',
      'explain how a request ended, from logs; - is standard input',
    )
    .action(explain);
  tool
    .command(
      'losses [...files]',
      'count late, refused and failed requests in logs; - is standard input',
    )
    .action(losses);
  tool.help();
  try {
    tool.parse(argv, { run: false });
    if (tool.options.help) return EXIT.ok;
    if (!tool.matchedCommand) {
      tool.outputHelp();
      return EXIT.usage;
    }
    // Before the library checks the arguments: its messages repeat them.
    if (tool.matchedCommandName === 'digest') refuseArguments(argv.slice(2));
    return (await tool.runMatchedCommand()) as number;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    return exitOf(error, tool.matchedCommand?.name ?? '');
  }
}

// Actions take the arguments of their command, then the options, so their parameters differ.

type Command = (...given: any[]) => Promise<number>;

/** Sets the address that the command calls: `--to`, or else `fallbackAddress`. */
function withAddress(command: Command, fallbackAddress: string): Command {
  return (...given) => {
    const options = given.at(-1) as Options;
    return command(...given.slice(0, -1), { ...options, address: options.to ?? fallbackAddress });
  };
}

/** Commands that write; if their outcome is unknown, the exit code has to say so. */
const WRITE_COMMANDS = new Set(['submit', 'amend', 'withdraw']);

function exitOf(error: unknown, command: string): number {
  if (error instanceof OutcomeError) {
    const mayHaveRun = error.verdict === 'may-have-run' && WRITE_COMMANDS.has(command);
    return mayHaveRun ? EXIT.unknown : EXIT.failed;
  }
  const isUsage =
    error instanceof UsageError || (error instanceof Error && error.name === 'CACError');
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
  for await (const page of auditPages(new Client(options.address), note)) {
    if (options.json) entries.push(...page);
    else if (page.length > 0) process.stdout.write(`${renderAudit(page)}\n`);
  }
  return options.json ? print(entries, EXIT.ok) : EXIT.ok;
}

/** Reads the audit trail page by page. */
async function* auditPages(client: Client, note: string | undefined): AsyncGenerator<AuditEntry[]> {
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

async function teams(options: Options): Promise<number> {
  const found = await new Client(options.address).call<TeamStatus[]>('teams');
  return print(found, EXIT.ok, options, renderTeams);
}

async function digest(): Promise<number> {
  process.stdout.write(`${await digestOfInput(process.stdin)}\n`);
  return EXIT.ok;
}

/** Fails if no log line belongs to the request. */
async function explain(
  id: string,
  files: readonly string[],
  options: Pick<Options, 'json'>,
): Promise<number> {
  const timeline = buildTimeline(String(id), await readLogLines(files.map(String)));
  const code = timeline.lines.length > 0 ? EXIT.ok : EXIT.failed;
  return print(timeline, code, options, renderTimeline);
}

/** Fails if the logs contain no tally lines: nothing can be said about losses then. */
async function losses(files: readonly string[], options: Pick<Options, 'json'>): Promise<number> {
  const report = buildLossReport(await readLogLines(files.map(String)));
  const code = report.rows.length > 0 ? EXIT.ok : EXIT.failed;
  return print(report, code, options, renderLossReport);
}
