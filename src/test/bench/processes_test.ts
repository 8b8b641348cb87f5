import { expect } from 'chai';
import { describeEnd, isAsked } from '../../bench/process_end.js';
import { Program } from '../../bench/processes.js';

const START = 'process.on("SIGTERM", () => process.exit(Number(process.env.CODE)));';
const RUN = 'console.log("runs"); setInterval(() => {}, 1e6);';

/** Starts a program that has printed its first line, and exits with that code at `SIGTERM`. */
async function start(code: number): Promise<Program> {
  const program = Program.launch('child', ['-e', `${START}${RUN}`], '.', { CODE: String(code) });
  while (program.lines.length === 0)
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  return program;
}

describe('Program', function programTest() {
  this.timeout(30_000);

  // Guards against experiments and tests that pass although one of their processes has died.
  it('tells ends that nobody asked for from the others', async () => {
    const [stopped, killed, faulty, reloaded] = await Promise.all([0, 0, 1, 0].map(start));
    await Promise.all([stopped!.stop(), killed!.kill(), faulty!.stop()]);
    reloaded!.signal('SIGHUP');
    const ends = await Promise.all([stopped, killed, faulty, reloaded].map((one) => one!.ended));
    expect(ends.map(isAsked)).to.deep.equal([true, true, false, false]);
    const unasked = Program.takeUnaskedEnds();
    expect(unasked.map(({ pid }) => pid)).to.have.members([faulty!.pid, reloaded!.pid]);
    const described = unasked
      .map(describeEnd)
      .map((text) => text.replace(/^.*?: /, ''))
      .sort();
    expect(described[0]).to.match(/exit code 1, .*SIGTERM .*last line: runs/);
    expect(described[1]).to.match(/signal SIGHUP, .*SIGHUP .*last line: runs/);
  });
});
