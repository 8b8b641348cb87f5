import { expect } from 'chai';
import { digestOfInput, refuseArguments } from '../../tool/digest.js';
import { EXIT } from '../../tool/exit.js';
import { main } from '../../tool/main.js';

// printf %s maj3nr26tta828m82thh | sha256sum
const KEY = 'maj3nr26tta828m82thh';
const DIGEST = 'dbafb4f6ae90ca2f1c53a65e18da67179f2baea36a968edc518e36c7653f43aa';

async function outcomeOf(...chunks: (string | Buffer)[]): Promise<string> {
  const input = (async function* read() {
    yield* chunks;
  })();
  return digestOfInput(input).catch((error: unknown) => (error as Error).message);
}

describe('digest', () => {
  // Guards against a digest that covers the line end, with which the key would never be accepted.
  it('prints the digest of one key, with or without a line end', async () => {
    for (const chunks of [[KEY], [`${KEY}\n`], [`${KEY}\r\n`], [KEY.slice(0, 4), KEY.slice(4)]]) {
      expect(await outcomeOf(...chunks)).to.equal(DIGEST);
    }
    expect(await outcomeOf('~'.repeat(256))).to.match(/^[0-9a-f]{64}$/);
  });

  // Guards against digests of what no caller can send as a key, and against messages with the key.
  it('refuses anything else without repeating it', async () => {
    const invalid = ['', '\n', 'two words', 'two\nlines', `${KEY}\n\n`, 'x'.repeat(257), 'ké'];
    const messages = await Promise.all(invalid.map((text) => outcomeOf(text)));
    messages.push(await outcomeOf(Buffer.from([0x6b, 0xff])), await outcomeOf('x'.repeat(9_999)));
    expect(new Set(messages).size).to.equal(1);
    expect(messages[0]).to.include('1 to 256 printable ASCII');
  });

  // Guards against the messages of the command line library, which repeat what they refuse.
  it('refuses a key given as an argument without repeating it', async () => {
    refuseArguments(['digest']);
    const { write } = process.stderr;
    const written: string[] = [];
    process.stderr.write = (text: string | Uint8Array) => written.push(String(text)) > 0;
    try {
      for (const rest of [[KEY], [`--${KEY}`], ['--', KEY], ['--to', KEY]]) {
        expect(await main(['node', 'barleyhaven', 'digest', ...rest], {})).to.equal(EXIT.usage);
      }
    } finally {
      process.stderr.write = write;
    }
    expect(written).to.have.length(4);
    for (const text of written) expect(text).to.match(/^digest takes no arguments[^\n]*\n$/);
    expect(written.join('')).not.to.include(KEY);
  });
});
