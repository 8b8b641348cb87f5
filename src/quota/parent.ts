/** Which process shares and tokens come from. */
import { type Ranking } from '../membership/ranking.js';

/** Place of a process in the tree of quotas. */
export interface QuotaParent {
  readonly instance: string;
  /** Whether the parent is in another data centre: the leader, of which this process is a child as root. */
  readonly isRemote: boolean;
}

/**
 * The parent in the tree of the data centre; for a root, the root of the first data centre, which is
 * the leader. The leader has none. All rosters give the same order of processes, so there is no cycle
 * even while they differ.
 */
export function quotaParent(ranking: Ranking): QuotaParent | undefined {
  const { parent } = ranking;
  if (parent) return { instance: parent.instance, isRemote: false };
  if (!ranking.isRoot || ranking.isLeader) return undefined;
  const [first = ''] = ranking.dataCentres();
  const leader = ranking.root(first);
  return leader && { instance: leader.instance, isRemote: true };
}
