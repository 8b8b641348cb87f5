/** Reads operators' orders of roll-outs from the store, and writes what became of them there. */
import * as z from 'zod';
import { Name, OutcomeError, type Rollout, type RolloutPhase } from '../contracts.js';
import { type Ordered, OrderSource } from '../rollout/order_source.js';
import { HISTORY_GONE, type Platform, type Stored } from './platform.js';
import { Duration } from './wire.js';

const KIND = 'rollouts';

const Order = z.object({ service: Name, targetVersion: z.string(), duration: Duration });
/** `running` is said of the version it names, not of one that was ordered since. */
const OrderStatus = z.object({
  state: z.enum(['running', 'completed', 'rolled_back']),
  targetVersion: z.string(),
});
type OrderStatus = z.infer<typeof OrderStatus>;

const PHASES: Readonly<Record<OrderStatus['state'], RolloutPhase>> = {
  running: 'trial',
  completed: 'completed',
  rolled_back: 'rolled-back',
};

export class ObjectOrders extends OrderSource {
  /** Revision from which changes are followed; unknown when the history is gone. */
  #asOf: number | undefined;

  constructor(private readonly platform: Platform) {
    super();
  }

  async list(deadline: number): Promise<Ordered> {
    const { objects, asOf } = await this.platform.listing(KIND, deadline);
    this.#asOf = asOf;
    return { rollouts: objects.flatMap((object) => rolloutFrom(object, false)), revision: asOf };
  }

  async follow(deadline: number, signal: AbortSignal): Promise<Ordered> {
    if (this.#asOf === undefined) return this.list(deadline);
    try {
      const { changes, asOf } = await this.platform.changes(KIND, this.#asOf, deadline, signal);
      this.#asOf = asOf;
      const rollouts = changes.flatMap(({ object, isDeleted }) => rolloutFrom(object, isDeleted));
      return { rollouts, revision: asOf };
    } catch (error) {
      if (error instanceof OutcomeError && error.reason === HISTORY_GONE) this.#asOf = undefined;
      throw error;
    }
  }

  async conclude({ upstream, version, revision, phase }: Rollout, deadline: number) {
    const said: OrderStatus = { state: stateOf(phase), targetVersion: version };
    const status = JSON.stringify(said);
    const key = `${KIND}/${upstream}`;
    return (await this.platform.updateStatus(key, status, revision, deadline)) !== undefined;
  }
}

function stateOf(phase: RolloutPhase): OrderStatus['state'] {
  if (phase === 'promoting' || phase === 'completed') return 'completed';
  return phase === 'trial' || phase === 'proof' ? 'running' : 'rolled_back';
}

/** Empty for what is no order: another writer's, or one that cannot be read. */
function rolloutFrom({ value, revision, created, status }: Stored, isDeleted: boolean): Rollout[] {
  const order = Order.safeParse(parsed(value));
  if (!order.success) return [];
  const { service: upstream, targetVersion: version, duration: durationMs } = order.data;
  const said = OrderStatus.safeParse(parsed(status));
  const word = said.success && said.data.targetVersion === version ? said.data : undefined;
  const phase = word ? PHASES[word.state] : 'trial';
  const isTakenBack = isDeleted && phase === 'trial';
  return [
    {
      upstream,
      version,
      durationMs,
      revision,
      orderedAt: created ?? revision,
      phase: isTakenBack ? 'withdrawn' : phase,
      isNoted: word !== undefined,
      isDeleted,
    },
  ];
}

function parsed(text: string | undefined): unknown {
  try {
    return JSON.parse(text ?? 'null');
  } catch {
    return undefined;
  }
}
