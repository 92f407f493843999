/** Replica groups, assembled from what their members report. */

import type { DomainId, Epoch, GroupId, ModelId } from '../ids';
import { compareText } from '../../utils/common';
import type { BackendServer } from './types';

/** The members that report the same group and epoch. */
export interface ReplicaGroup {
  readonly id: GroupId;
  readonly epoch: Epoch;
  readonly model: ModelId | undefined;
  readonly domain: DomainId | undefined;
  /** The member of rank 0, which takes requests; undefined if it doesn't report this group. */
  readonly head: BackendServer | undefined;
  /** Ordered by rank; a member that no longer reports this group is missing. */
  readonly members: readonly BackendServer[];
}

function groupKey(server: BackendServer): string | undefined {
  const membership = server.membership;
  return membership && `${membership.group} ${membership.epoch}`;
}

function rankOf(server: BackendServer): number {
  return server.membership?.rank ?? 0;
}

/** All groups that any server reports, ordered by id and epoch. */
export function collectGroups(servers: Iterable<BackendServer>): readonly ReplicaGroup[] {
  const byKey = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const key = groupKey(server);
    if (key === undefined) continue;
    const members = byKey.get(key);
    if (members) members.push(server);
    else byKey.set(key, [server]);
  }
  return [...byKey.keys()].sort(compareText).flatMap((key) => {
    const group = toGroup(byKey.get(key) ?? []);
    return group ? [group] : [];
  });
}

function toGroup(reporting: readonly BackendServer[]): ReplicaGroup | undefined {
  const members = [...reporting].sort((a, b) => rankOf(a) - rankOf(b));
  const first = members[0];
  if (!first?.membership) return undefined;
  const head = rankOf(first) === 0 ? first : undefined;
  return {
    id: first.membership.group,
    epoch: first.membership.epoch,
    model: members.find(({ model }) => model !== undefined)?.model,
    domain: first.domain,
    head,
    members,
  };
}

/** A group that requests may be sent to. */
export interface OpenGroup {
  readonly id: GroupId;
  readonly model: ModelId;
  /** The member that takes requests. */
  readonly head: BackendServer;
}

/**
 * The groups whose heads report that they serve and aren't draining. Only heads are examined, as each daemon
 * does this after every change among hundreds of servers.
 */
export function findOpenGroups(servers: Iterable<BackendServer>): readonly OpenGroup[] {
  const reporting: OpenGroup[] = [];
  for (const head of servers) {
    const { membership, model, isDraining } = head;
    if (membership?.state !== 'open' || membership.rank !== 0) continue;
    if (!isDraining && model !== undefined) reporting.push({ id: membership.group, model, head });
  }
  return reporting;
}

/** Whether all `size` members report that they are ready under the same group and epoch. */
export function isComplete(group: ReplicaGroup, size: number): boolean {
  if (group.members.length !== size) return false;
  return group.members.every(({ membership }, rank) => {
    if (membership?.rank !== rank) return false;
    return membership.state === 'ready' || membership.state === 'open';
  });
}
