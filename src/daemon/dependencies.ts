/** What a process is started with, apart from its settings. */
import { type Feed } from '../distribution/feed.js';
import { type Replica } from '../distribution/replica.js';
import { type Codec } from '../link/codec.js';
import { type Log } from '../logs/log.js';
import { type Pace } from '../membership/pace.js';
import { type Platform } from '../platform/platform.js';
import { type Dialect } from '../requests/dialect.js';
import { type OrderSource } from '../rollout/order_source.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** External services and options that an instance is started with. */
export interface InstanceDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
  /** Headers that callers and the upstream instance use; `DEFAULT_DIALECT` if absent. */
  readonly dialect?: Dialect;
  /** Creates the source of configuration versions; the log of release notes if absent. */
  readonly feed?: (replica: Replica) => Feed;
  /** Source of rollout orders; without it endpoints of all versions are treated alike. */
  readonly orders?: OrderSource;
  readonly pace?: Pace;
  /** Nothing is logged if absent. */
  readonly log?: Log;
}
