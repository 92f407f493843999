/** What the log lines of a stream say about the group of its last attempt. */

import type { Evidence } from '../../core/gateway/suspicion';
import type { GroupId, MonoTime } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GroupFinding } from './group-suspicions';

export interface GroupTrace {
  readonly group: GroupId;
  /** Evidence against the group, and who found it or how; absent if there is none. */
  readonly evidence?: Evidence;
  readonly finding?: string;
  /** Time since the last event of this stream in the group, milliseconds; absent before the first. */
  readonly eventAgeMs?: number;
  /** The same of any stream of this daemon in the group. */
  readonly groupEventAgeMs?: number;
}

/** What a stream lacked to go on in another group. */
export type Lack = 'attempt' | 'resume' | 'retry' | 'slot' | 'time';

export interface TracedAttempt {
  readonly group: ServingGroup;
  /** The finding that ended the attempt, if one did. */
  readonly finding: GroupFinding | undefined;
  /** When the stream had its last event in the group. */
  readonly lastEventAt: MonoTime | undefined;
}

export function traceGroup(
  groupRegistry: Pick<GroupRegistry, 'finding' | 'lastEventAt'>,
  { group: { id, head }, finding = groupRegistry.finding(id), lastEventAt }: TracedAttempt,
  now: MonoTime,
): GroupTrace {
  const groupEventAt = groupRegistry.lastEventAt(head.id);
  return {
    group: id,
    ...(finding && { evidence: finding.evidence, finding: finding.reason }),
    ...(lastEventAt !== undefined && { eventAgeMs: Math.round(now - lastEventAt) }),
    ...(groupEventAt !== undefined && { groupEventAgeMs: Math.round(now - groupEventAt) }),
  };
}
