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

/** Ends a call as a process might. */
type Ending = (response: ServerResponse) => void;

async function listening(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** Submits a text to a process that ends the call so; the exit code and what was printed. */
async function submit(text: string, ending: Ending, isOpen = true) {
  const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
  const file = join(folder, 'note.yaml');
  await writeFile(file, text);
  const server = createServer((request, response) => {
    request.resume().on('end', () => ending(response));
  });
  const port = await listening(server);
  if (!isOpen) server.close();
  const printed: string[] = [];
  const { stdout, stderr } = process;
  const [out, error] = [stdout.write, stderr.write];
  const keep = (chunk: unknown) => printed.push(String(chunk)) > 0;
  stdout.write = keep;
  stderr.write = keep;
  try {
    const code = await main(['node', 'tool', 'submit', file, '--to', `127.0.0.1:${port}`], {});
    return { code, printed: printed.join('').replaceAll(String(port), 'PORT') };
  } finally {
    stdout.write = out;
    stderr.write = error;
    server.close();
    await rm(folder, { recursive: true });
  }
}

const answering =
  (body: object): Ending =>
  (response) =>
    response.end(JSON.stringify({ jsonrpc: '2.0', id: 1, ...body }));

describe('submit', () => {
  // The process gets the note and dies, or answers without knowing, so it may have been accepted.
  // The tool's exit code says that it is not known, which a script must not take for a failure.
  it('ends with its own code when it is not known whether the note was accepted', async () => {
    const gone = await submit(NOTE, (response) => response.destroy());
    const data = { verdict: 'may-have-run', reason: 'unsettled' };
    const unsettled = await submit(
      NOTE,
      answering({ error: { code: -32000, message: 'hand it in again', data } }),
    );
    expect([gone.code, unsettled.code]).to.deep.equal([EXIT.unknown, EXIT.unknown]);
    expect(unsettled.printed).toMatchSnapshot();
  });

  // No process listens. A good note was surely not accepted; of a bad one the problems are shown
  // all the same, with a hint that the audit trail does not have them.
  it('tells what it can by itself when no process is reached', async () => {
    const good = await submit(NOTE, () => {}, false);
    const bad = await submit('id: opening\ncolour: blue\n', () => {}, false);
    expect([good.code, bad.code]).to.deep.equal([EXIT.failed, EXIT.refused]);
    expect(bad.printed).toMatchSnapshot();
  });

  it('names the resources and the other note of a conflict', async () => {
    const result = {
      outcome: 'conflict',
      resources: ['route/menus'],
      note: 'other',
      audited: true,
    };
    expect(await submit(NOTE, answering({ result }))).toMatchSnapshot();
  });
});
