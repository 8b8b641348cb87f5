/** Commands of the operators' tool. */
import { cac } from 'cac';
import { type Member, type Survey, type VersionRecord } from '../contracts.js';
import { type Acceptance } from '../source/source.js';
import { Client } from './client.js';
import { readNote } from './note_file.js';

/** Exit codes of the tool. */
export const EXIT = { ok: 0, failed: 1, usage: 2, refused: 3, conflict: 4, unknown: 5 } as const;

const DEFAULT_ADDRESS = '127.0.0.1:8083';

interface Options {
  readonly to: string;
  readonly json?: boolean;
}

export async function main(argv: string[], environment: NodeJS.ProcessEnv): Promise<number> {
  const tool = cac('barleyhaven');
  const address = environment.BARLEYHAVEN_TO ?? DEFAULT_ADDRESS;
  tool.option('--to <address>', "host:port of a process's operators' port", { default: address });
  tool.option('--json', 'print JSON');
  tool.command('submit <file>', 'hand in a release note').action(submit);
  tool.command('check <file>', 'check a release note without handing it in').action(check);
  tool.command('status', 'where versions stand across the fleet').action(status);
  tool.command('audit [note]', 'who changed what, and when').action(audit);
  tool.command('fleet', 'the processes known').action(fleet);
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
    return EXIT.failed;
  }
}

async function submit(file: string, options: Options): Promise<number> {
  const reading = await readNote(file);
  if ('problems' in reading) return report(reading, EXIT.refused);
  const acceptance = await new Client(options.to).call<Acceptance>('submit', reading.note);
  if (acceptance.outcome === 'accepted') {
    const { number, note } = acceptance.record.version;
    return report(
      { outcome: 'accepted', note, version: number, repeated: acceptance.repeated },
      EXIT.ok,
    );
  }
  return report(acceptance, acceptance.outcome === 'conflict' ? EXIT.conflict : EXIT.refused);
}

async function check(file: string): Promise<number> {
  const reading = await readNote(file);
  return 'problems' in reading
    ? report(reading, EXIT.refused)
    : report({ outcome: 'valid' }, EXIT.ok);
}

async function status(options: Options): Promise<number> {
  return report(await new Client(options.to).call<Survey>('status'), EXIT.ok);
}

async function audit(note: string | undefined, options: Options): Promise<number> {
  return report(await new Client(options.to).call<VersionRecord[]>('audit', { note }), EXIT.ok);
}

async function fleet(options: Options): Promise<number> {
  return report(await new Client(options.to).call<Member[]>('fleet'), EXIT.ok);
}

function report(value: unknown, code: number): number {
  process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  return code;
}
