import { mkdtemp, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { SettingsError } from '../../daemon/settings.js';
import { SettingsFile } from '../../platform/settings_file.js';
import { MachineClock } from '../../runtime/clock.js';
import { meshMachine, writeSettings } from '../../standins/mesh_machine.js';

const clock = new MachineClock();
const machine = meshMachine(0, 1, ['listings']);

describe('SettingsFile', () => {
  let folder: string;
  let path: string;
  let content: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    path = join(folder, 'settings.json');
    await writeSettings(path, machine, [machine], 9);
    content = await readFile(path, 'utf8');
  });

  afterEach(() => rm(folder, { recursive: true }));

  /** Reads while the file goes from one state to the next; resolves to the machine's name in it. */
  const readDuring = async (...states: (() => Promise<void>)[]): Promise<string> => {
    const [first, ...others] = states;
    await first!();
    const reading = new SettingsFile(path, clock).read();
    for (const next of others) {
      await clock.sleepUntil(clock.now() + 60);
      await next();
    }
    return (await reading).nodeName;
  };

  // Guards against a process that ends as it starts because its settings are being written.
  it('is read once it is written, when it is cut off, empty or missing before', async () => {
    const cutOff = () => writeFile(path, content.slice(0, content.length / 2));
    const empty = () => writeFile(path, '');
    const missing = () => rm(path);
    const written = () => writeFile(path, content);
    const renamed = async () => {
      await writeFile(`${path}.new`, content);
      await rename(`${path}.new`, path);
    };
    expect(await readDuring(cutOff, empty, written)).to.equal(machine.name);
    expect(await readDuring(missing, renamed)).to.equal(machine.name);
  });

  it('may have fields that are not known', async () => {
    const extended = JSON.stringify({ ...(JSON.parse(content) as object), colour: { of: 'it' } });
    expect(await readDuring(() => writeFile(path, extended))).to.equal(machine.name);
  });

  it('is refused when it stays invalid', async () => {
    const error = await readDuring(() => writeFile(path, '{}')).catch((cause: unknown) => cause);
    expect(error).to.be.instanceOf(SettingsError);
    expect((error as SettingsError).message).to.include('nodeName');
  });
});
