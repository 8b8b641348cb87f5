import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { EXIT } from '../../tool/exit.js';
import { main } from '../../tool/main.js';

const NOTE = 'id: opening\nauthor: dana\nadd: { upstreams: [{ name: listings }] }\n';

/** Ends a call the way a process could. */
type AnswerCall = (response: ServerResponse) => void;

async function listen(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** Runs a command on a note file against a server that ends the call with `ending`. */
async function run(command: string, text: string, ending: AnswerCall, isListening = true) {
  const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
  const file = join(folder, 'note.yaml');
  await writeFile(file, text);
  const server = createServer((request, response) => {
    request.resume().on('end', () => ending(response));
  });
  const port = await listen(server);
  if (!isListening) server.close();
  const printed: string[] = [];
  const { stdout, stderr } = process;
  const [out, error] = [stdout.write, stderr.write];
  const capture = (chunk: unknown) => printed.push(String(chunk)) > 0;
  stdout.write = capture;
  stderr.write = capture;
  try {
    const code = await main(['node', 'tool', command, file, '--to', `127.0.0.1:${port}`], {});
    return { code, printed: printed.join('').replaceAll(String(port), 'PORT') };
  } finally {
    stdout.write = out;
    stderr.write = error;
    server.close();
    await rm(folder, { recursive: true });
  }
}

const answerWith =
  (body: object): AnswerCall =>
  (response) =>
    response.end(JSON.stringify({ jsonrpc: '2.0', id: 1, ...body }));

const submit = (text: string, ending: AnswerCall, isListening = true) =>
  run('submit', text, ending, isListening);

describe('submit', () => {
  // The process dies with the note, or reports an unknown outcome. Guards against an exit code that
  // a script would take for a failure although the note may have been accepted.
  it('exits with a code of its own if the note may have been accepted', async () => {
    const gone = await submit(NOTE, (response) => response.destroy());
    const data = { verdict: 'may-have-run', reason: 'unsettled' };
    const unsettled = await submit(
      NOTE,
      answerWith({ error: { code: -32000, message: 'hand it in again', data } }),
    );
    expect([gone.code, unsettled.code]).to.deep.equal([EXIT.unknown, EXIT.unknown]);
    expect(unsettled.printed).toMatchSnapshot();
  });

  // No process listens. Guards against hiding the problems of an invalid note in that case, or the
  // warning that the audit trail may lack the refusal.
  it('checks the note locally if no process can be reached', async () => {
    const good = await submit(NOTE, () => {}, false);
    const bad = await submit('id: opening\ncolour: blue\n', () => {}, false);
    expect([good.code, bad.code]).to.deep.equal([EXIT.failed, EXIT.refused]);
    expect(bad.printed).toMatchSnapshot();
  });

  it('prints the resources and the other note of a conflict', async () => {
    const result = {
      outcome: 'conflict',
      resources: ['route/menus'],
      note: 'other',
      audited: true,
    };
    const unaudited = { ...result, audited: false };
    expect(await submit(NOTE, answerWith({ result }))).toMatchSnapshot();
    expect(await submit(NOTE, answerWith({ result: unaudited }))).toMatchSnapshot();
  });
});

describe('check', () => {
  // Nothing can be accepted by a check. Guards against the exit code for an unknown outcome, which
  // asks for the note to be submitted again.
  it('exits as failed if the process dies, since it writes nothing', async () => {
    const { code } = await run('check', NOTE, (response) => response.destroy());
    expect(code).to.equal(EXIT.failed);
  });
});
