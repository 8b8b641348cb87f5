import { expect } from 'chai';
import { MAX_NOTE_BYTES } from '../../contracts.js';
import { parseNote } from '../../source/note_text.js';

describe('parseNote', () => {
  it('lists every problem by path', () => {
    const text = `
id: Bad Id
author: dana
colour: blue
add:
  upstreams: [{ name: listings, hue: red }]
  routes: [{ name: menus, pathPrefix: menus, upstream: listings, timeoutMs: 0 }]
`;
    const reading = parseNote(text);
    expect('problems' in reading && reading.problems).toMatchSnapshot();
  });

  // Guards against problems that operators cannot find among thousands of teams, and against a key
  // that shows in a message after it was listed in place of its digest.
  it('names teams with problems and shows nothing of what they list', () => {
    const listed = ['maj3nr26', '"*maj3nr26"', '*maj3nr26', '|maj3nr26', 'a'.repeat(65)];
    const fields = [
      ...listed.map((key) => `keyDigests: [${key}]`),
      `keyDigests:\n      - |maj3nr26`,
      `keyDigests: [${Array.from({ length: 65 }, () => 'a'.repeat(64)).join()}]`,
      'priority: 10',
      'requestsPerSecond: .inf',
      'requestsPerSecond: .nan',
      'burst: -1',
      'burst: 1000001',
    ];
    const problems = fields.map((field) => {
      const keys = field.startsWith('keyDigests') ? '' : '\n      keyDigests: []';
      const team = `{ name: seats, keyDigests: [] }\n    - name: pulo780${keys}\n      ${field}`;
      const reading = parseNote(`id: a\nauthor: b\nadd:\n  teams:\n    - ${team}\n`);
      return 'problems' in reading && reading.problems.map(({ path, message }) => [path, message]);
    });
    expect(problems).toMatchSnapshot();
    expect(JSON.stringify(problems)).not.to.match(/maj3nr26|aaaaaaaaa/);
  });

  it('refuses invalid YAML, unlimited alias expansion and overlong text', () => {
    const bomb = `a: &a [x,x,x,x,x,x,x,x,x,x]
b: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a,*a]
c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b,*b]
d: [*c,*c,*c,*c,*c,*c,*c,*c,*c,*c]
`;
    const long = 'x'.repeat(MAX_NOTE_BYTES + 1);
    const readings = ['{id: [', bomb, long, '', 'just text'].map(parseNote);
    expect(readings.map((reading) => 'problems' in reading && reading.problems)).toMatchSnapshot();
  });
});
