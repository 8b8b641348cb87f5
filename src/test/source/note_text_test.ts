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
