/** Reads the operators' rollout orders from the store, and writes their status back. */
import * as z from 'zod';
import { Name, OutcomeError, type Rollout, type RolloutPhase } from '../contracts.js';
import { type OrderList, OrderSource } from '../rollout/order_source.js';
import { HISTORY_GONE, type Platform, type Stored } from './platform.js';
import { Duration } from './wire.js';

const KIND = 'rollouts';

const Order = z.object({ service: Name, targetVersion: z.string(), duration: Duration });
/** The state holds for `targetVersion` only, not for a version that was ordered later. */
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
  /** Revision after which changes are followed; undefined if the history is gone. */
  #asOf: number | undefined;

  constructor(private readonly platform: Platform) {
    super();
  }

  async list(deadline: number): Promise<OrderList> {
    const { objects, asOf } = await this.platform.listKind(KIND, deadline);
    this.#asOf = asOf;
    return { rollouts: objects.flatMap((object) => rolloutFrom(object, false)), revision: asOf };
  }

  async follow(deadline: number, signal: AbortSignal): Promise<OrderList> {
    if (this.#asOf === undefined) return this.list(deadline);
    try {
      const { changes, asOf } = await this.platform.waitForChanges(
        KIND,
        this.#asOf,
        deadline,
        signal,
      );
      this.#asOf = asOf;
      const rollouts = changes.flatMap(({ object, isDeleted }) => rolloutFrom(object, isDeleted));
      return { rollouts, revision: asOf };
    } catch (error) {
      if (error instanceof OutcomeError && error.reason === HISTORY_GONE) this.#asOf = undefined;
      throw error;
    }
  }

  async writeOutcome({ upstream, version, revision, phase }: Rollout, deadline: number) {
    const orderStatus: OrderStatus = { state: stateOf(phase), targetVersion: version };
    const status = JSON.stringify(orderStatus);
    const key = `${KIND}/${upstream}`;
    return (await this.platform.updateStatus(key, status, revision, deadline)) !== undefined;
  }
}

function stateOf(phase: RolloutPhase): OrderStatus['state'] {
  if (phase === 'promoting' || phase === 'completed') return 'completed';
  return phase === 'trial' || phase === 'proof' ? 'running' : 'rolled_back';
}

/** Empty if the object is not a valid order, for example one of another writer. */
function rolloutFrom({ value, revision, created, status }: Stored, isDeleted: boolean): Rollout[] {
  const order = Order.safeParse(parseJson(value));
  if (!order.success) return [];
  const { service: upstream, targetVersion: version, duration: durationMs } = order.data;
  const parsedStatus = OrderStatus.safeParse(parseJson(status));
  const current =
    parsedStatus.success && parsedStatus.data.targetVersion === version
      ? parsedStatus.data
      : undefined;
  const phase = current ? PHASES[current.state] : 'trial';
  const isWithdrawn = isDeleted && phase === 'trial';
  return [
    {
      upstream,
      version,
      durationMs,
      revision,
      orderedAt: created ?? revision,
      phase: isWithdrawn ? 'withdrawn' : phase,
      isNoted: current !== undefined,
      isDeleted,
    },
  ];
}

function parseJson(text: string | undefined): unknown {
  try {
    return JSON.parse(text ?? 'null');
  } catch {
    return undefined;
  }
}
