import { expect } from 'chai';
import { MachinePhases } from '../../bench/replay/machine_phases.js';
import { SeededRandom } from '../../runtime/random.js';

const SECONDS = 3_000;
const STEP_MS = 5;

describe('MachinePhases', () => {
  // Guards against a comparison on machines that are slow for another share of the time than stated.
  it('is slow for the stated share of the time, and changes as often as stated', () => {
    const sharing = { slowShare: 0.15, factor: 2.5, changeMs: 600 };
    const phases = new MachinePhases(sharing, 0, new SeededRandom(4));
    const steps = (SECONDS * 1_000) / STEP_MS;
    const factors = Array.from({ length: steps }, (_, step) => phases.factorAt(step * STEP_MS));
    const slow = factors.filter((factor) => factor === 2.5).length;
    const changes = factors.filter((factor, step) => step > 0 && factor !== factors[step - 1]);
    expect(slow / steps).to.be.closeTo(0.15, 0.01);
    expect((SECONDS * 1_000) / changes.length).to.be.closeTo(600, 30);
    // Over many phases, work takes as long as the mean speed makes it.
    expect(phases.endOf(0, 1_000_000) / 1_000_000).to.be.closeTo(1 / (0.85 + 0.15 / 2.5), 0.02);
  });
});
