/**
 * Decides whether a group may be ended for the silence of its members alone.
 *
 * Load pattern: sound servers send nothing for 0.3 to 3 s and then go on, one of a group at a time or a fifth of
 * the fleet. An order to leave reaches the head as soon as it goes on, and breaks all its streams off. Silence
 * is therefore enough only where no daemon holds an unfinished answer of the group, or after the time in which
 * a head that waits for a lost member breaks by itself: until then its answers may still be completed.
 */

import { later } from '../../ids';
import type { InstanceId, MonoTime } from '../../ids';
import type { BackendServer } from '../types';
import { isSuspect } from './state';
import type { Draft } from './state';

/** The head and the members of a group, as last known. */
export interface GroupServers {
  readonly head: BackendServer | undefined;
  readonly members: readonly BackendServer[];
}

/**
 * From the finding until the loads of all daemons include what they sent before they learnt of it: daemons of a
 * large fleet tell their loads every 400 ms.
 */
const LOADS_KNOWN_MS = 600;

/** Whether no daemon holds an unfinished answer of the head, as the loads tell of a group that gets nothing new `since`. */
export function hasNoAnswers(
  { now, view }: Pick<Draft, 'now' | 'view'>,
  head: InstanceId | undefined,
  since: MonoTime,
): boolean {
  const hasAnswers = head !== undefined && view.answering?.has(head) === true;
  return !hasAnswers && now >= later(since, LOADS_KNOWN_MS);
}

/** Whether the server is suspected for more than its silence. */
function isProvenLost(draft: Draft, { id }: BackendServer): boolean {
  return isSuspect(draft, id) && !draft.silentSince.has(id);
}

/** When the first of the servers was found silent, if one of them is suspected for that alone. */
function silentSince(draft: Draft, servers: readonly BackendServer[]): MonoTime | undefined {
  const times = servers.flatMap(({ id }) => {
    const since = isSuspect(draft, id) ? draft.silentSince.get(id) : undefined;
    return since === undefined ? [] : [since];
  });
  return times.sort((a, b) => a - b)[0];
}

function mayEndSilent(draft: Draft, head: InstanceId | undefined, since: MonoTime): boolean {
  const { now, settings } = draft;
  return now >= later(since, settings.headBreakMs) || hasNoAnswers(draft, head, since);
}

/** Whether a group is to be ended for the loss of one of its servers. */
export function isGroupLost(draft: Draft, { head, members }: GroupServers): boolean {
  const servers = head ? [head, ...members] : members;
  if (servers.some((server) => isProvenLost(draft, server))) return true;
  const since = silentSince(draft, servers);
  return since !== undefined && mayEndSilent(draft, head?.id, since);
}
