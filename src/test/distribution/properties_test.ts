import { expect } from 'chai';
import fc from 'fast-check';
import { canonical } from '../../configuration/digest.js';
import { validate } from '../../configuration/validate.js';
import { type Change } from '../../contracts.js';
import { BytesProfile, ConvergenceProfile } from '../../distribution/profile.js';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 3, chaguanas: 3 };
const NAMES = Object.entries(SIZES).flatMap(([dataCentre, size]) =>
  Array.from({ length: size }, (_, index) => `${dataCentre}-${index + 1}`),
);
const RUNS = 12;
const SEED = 20_261_202;
/**
 * Time within which all processes hold the same version once faults have ended, in milliseconds.
 */
const CONVERGE_MS = 30_000;

const name = fc.constantFrom(...NAMES);
const dataCentre = fc.constantFrom(...Object.keys(SIZES));
const probability = fc.constantFrom(0, 0.1, 0.4);

/** One event, after which `waitMs` pass. */
const step = fc.record({
  waitMs: fc.constantFrom(0, 3, 40, 700, 5_000),
  event: fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('accept' as const) }) },
    fc.record({ kind: fc.constant('forge' as const), name }),
    fc.record({
      kind: fc.constant('kill' as const),
      name,
      how: fc.constantFrom('closed', 'silent'),
    }),
    fc.record({ kind: fc.constant('killAll' as const) }),
    {
      weight: 3,
      arbitrary: fc.record({ kind: fc.constant('restart' as const), name }),
    },
    fc.record({ kind: fc.constant('pause' as const), name }),
    fc.record({ kind: fc.constant('resume' as const), name }),
    fc.record({ kind: fc.constant('silence' as const), name, other: name }),
    fc.record({ kind: fc.constant('platform' as const), down: fc.boolean() }),
    fc.record({ kind: fc.constant('cutPlatform' as const), dataCentre }),
    fc.record({ kind: fc.constant('cutOthers' as const) }),
    fc.record({ kind: fc.constant('heal' as const) }),
    fc.record({
      kind: fc.constant('links' as const),
      lose: probability,
      duplicate: probability,
      reorder: probability,
    }),
  ),
});
type Event = (typeof step extends fc.Arbitrary<infer T> ? T : never)['event'];

/** Checks every version when it is applied, and the versions that each instance served earlier. */
class InvariantChecker {
  readonly violations: string[] = [];

  /** Highest version that an instance held while ready, across restarts. */
  readonly #served = new Map<string, number>();

  constructor(private readonly fleet: TestFleet) {}

  watch({ name: instance, control }: Node): void {
    let held = control.replica.current.number;
    control.replica.onApplied(() => {
      const { number, digest } = control.replica.current;
      if (number <= held) this.violations.push(`${instance} went from ${held} to ${number}`);
      held = number;
      this.#compareWithAccepted(control, number, digest);
    });
  }

  checkServed(): void {
    for (const { name: instance, control } of this.fleet.alive) {
      if (!control.readiness.isReady) continue;
      const { number } = control.replica.current;
      const before = this.#served.get(instance) ?? 0;
      if (number < before) this.violations.push(`${instance} served ${before} and now ${number}`);
      this.#served.set(instance, Math.max(before, number));
    }
  }

  #compareWithAccepted({ replica }: Node['control'], number: number, digest: string): void {
    const accepted = this.fleet.accepted[number];
    const isSame =
      accepted?.digest === digest &&
      canonical(accepted.resources()) === canonical(replica.current.resources());
    if (!isSame) this.violations.push(`version ${number} is not the accepted one`);
    if (validate(replica.current).length > 0)
      this.violations.push(`version ${number} has dangling references`);
  }
}

async function applyEvent(
  fleet: TestFleet,
  checker: InvariantChecker,
  event: Event,
): Promise<void> {
  const node = 'name' in event ? fleet.nodes.get(event.name)! : undefined;
  const restart = ({ name: instance, host }: Node) =>
    checker.watch(fleet.launch(instance, host.dataCentre));
  switch (event.kind) {
    case 'accept':
      if (!fleet.platform.faults.down) await fleet.accept();
      break;
    case 'forge':
      forge(fleet, node!);
      break;
    case 'kill':
      if (node!.isAlive) fleet.kill(event.name, event.how);
      break;
    case 'killAll':
      fleet.alive.forEach((each) => {
        fleet.kill(each.name);
        restart(each);
      });
      break;
    case 'restart':
      if (node!.isAlive) fleet.kill(event.name);
      restart(node!);
      break;
    case 'pause':
      node!.host.gate.shut();
      break;
    case 'resume':
      if (node!.isAlive) node!.host.gate.open();
      break;
    case 'silence':
      fleet.network.silence(node!.host, fleet.nodes.get(event.other)!.host);
      break;
    case 'platform':
      fleet.platform.faults.down = event.down;
      fleet.platform.wakeWatches();
      break;
    case 'cutPlatform':
      fleet.cutOff.add(event.dataCentre);
      break;
    case 'cutOthers':
      fleet.network.cut('arima', 'chaguanas');
      break;
    case 'heal':
      heal(fleet);
      break;
    default:
      Object.assign(fleet.network.faults, event);
  }
}

/** Makes a process receive a version that was never accepted. */
function forge(fleet: TestFleet, { control }: Node): void {
  const good = fleet.next();
  const change: Change = { put: good.change.put.slice(0, 1), remove: [] };
  control.replica.apply([{ ...good, change }]);
}

function heal(fleet: TestFleet): void {
  Object.assign(fleet.network.faults, { lose: 0, duplicate: 0, reorder: 0, delayMs: 0 });
  fleet.network.heal();
  fleet.cutOff.clear();
  fleet.platform.faults.down = false;
}

describe('Distribution', () => {
  // Guards against an instance that goes back, differs from the accepted version, has dangling
  // references or does not converge, whatever the order of faults and forged versions.
  it('upholds its invariants under any sequence of faults (property)', async () => {
    const property = fc.asyncProperty(
      fc.array(step, { minLength: 8, maxLength: 20 }),
      fc.boolean(),
      async (steps, isBytes) => {
        const profile = isBytes ? new BytesProfile() : new ConvergenceProfile();
        await using fleet = await TestFleet.start({ sizes: SIZES, profile });
        const watch = new InvariantChecker(fleet);
        fleet.alive.forEach((node) => watch.watch(node));
        for (const { event, waitMs } of steps) {
          await applyEvent(fleet, watch, event);
          await fleet.time.until(
            () => void watch.checkServed() === undefined && false,
            waitMs,
            100,
          );
        }
        heal(fleet);
        for (const node of fleet.nodes.values()) {
          if (!node.isAlive) watch.watch(fleet.launch(node.name, node.host.dataCentre));
          else node.host.gate.open();
        }
        const head = fleet.accepted.length - 1;
        const isWell = () =>
          fleet.holds(head) && fleet.alive.every(({ control }) => control.readiness.isReady);
        const hasConverged = await fleet.time.until(isWell, CONVERGE_MS, 100);
        watch.checkServed();
        expect(watch.violations).to.deep.equal([]);
        expect([hasConverged, fleet.alive.length]).to.deep.equal([true, NAMES.length]);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
