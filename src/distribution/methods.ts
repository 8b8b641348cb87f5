/** The JSON-RPC methods that processes offer each other. */
import * as z from 'zod';
import {
  Ahead,
  BucketHashes,
  Bulletin,
  Confirm,
  Confirmed,
  Delegated,
  Delegation,
  DrainAnswer,
  DrainQuery,
  Gossip,
  Heartbeat,
  Hello,
  packHeartbeat,
  packReaderHeartbeat,
  Pull,
  Pulled,
  Push,
  QuotaAnswer,
  QuotaReport,
  ReaderHeartbeat,
  Reading,
  Recall,
  Recalled,
  RolloutUpdate,
  RosterDifference,
  RosterExchange,
  SurveyQuery,
  Survey,
} from '../contracts.js';
import { type Method } from '../link/peer.js';

const Nothing = z.unknown();

export const HELLO: Method<Hello, Hello> = { name: 'hello', params: Hello, result: Hello };
export const HEARTBEAT: Method<Heartbeat, unknown> = {
  name: 'hb',
  params: Heartbeat,
  result: Nothing,
  pack: packHeartbeat,
};
export const PUSH: Method<Push, unknown> = { name: 'push', params: Push, result: Nothing };
export const AHEAD: Method<Ahead, unknown> = { name: 'ahead', params: Ahead, result: Nothing };
export const PULL: Method<Pull, Pulled> = { name: 'pull', params: Pull, result: Pulled };
export const GOSSIP: Method<Gossip, unknown> = { name: 'gossip', params: Gossip, result: Nothing };
/** Asks in which buckets the rosters of two neighbours differ. */
export const RECONCILE: Method<BucketHashes, RosterDifference> = {
  name: 'reconcile',
  params: BucketHashes,
  result: RosterDifference,
};
/** Exchanges the member records that differ. */
export const EXCHANGE: Method<RosterExchange, Gossip> = {
  name: 'exchange',
  params: RosterExchange,
  result: Gossip,
};
export const RECALL: Method<Recall, Recalled> = {
  name: 'recall',
  params: Recall,
  result: Recalled,
};
export const DRAIN: Method<DrainQuery, DrainAnswer> = {
  name: 'drain',
  params: DrainQuery,
  result: DrainAnswer,
};
export const CONFIRM: Method<Confirm, Confirmed> = {
  name: 'confirm',
  params: Confirm,
  result: Confirmed,
};
/** Asks a process to read the source in place of the sender; older releases do not know the method. */
export const DELEGATE: Method<Delegation, Delegated> = {
  name: 'delegate',
  params: Delegation,
  result: Delegated,
};
export const READING: Method<Reading, unknown> = {
  name: 'reading',
  params: Reading,
  result: Nothing,
};
/** Older releases do not know the method, and ignore it. */
export const READER_HEARTBEAT: Method<ReaderHeartbeat, unknown> = {
  name: 'rhb',
  params: ReaderHeartbeat,
  result: Nothing,
  pack: packReaderHeartbeat,
};
export const SURVEY: Method<SurveyQuery, Survey> = {
  name: 'survey',
  params: SurveyQuery,
  result: Survey,
};
/** Reports deaths of upstream instances and clearances of suspected requests. */
export const BULLETIN: Method<Bulletin, unknown> = {
  name: 'bulletin',
  params: Bulletin,
  result: Nothing,
};
/** Reports rollout orders for upstreams, and evidence about the new versions. */
export const ROLLOUT: Method<RolloutUpdate, unknown> = {
  name: 'rollout',
  params: RolloutUpdate,
  result: Nothing,
};
/** Reports the use of quotas to the parent, which assigns shares and tokens. */
export const QUOTA: Method<QuotaReport, QuotaAnswer> = {
  name: 'quota',
  params: QuotaReport,
  result: QuotaAnswer,
};
