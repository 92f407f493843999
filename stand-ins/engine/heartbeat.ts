/** Heartbeat of rank 0: polls the status of the other members of its group. */

import type { EngineReport, Member } from '../../src/core/groups/types';
import { callJson } from '../shared/client';
import type { Holding } from './orders';

/** State of a member as rank 0 observes it. */
export type ObservedState = 'serving' | 'not-yet' | 'gone' | 'silent';

/** Consecutive heartbeats without a response after which a member is treated as gone. */
export const SILENT_BEATS = 6;

/** Polls the status of one member. */
export async function pollMember(
  member: Member,
  { group, epoch }: Holding,
  timeoutMs: number,
): Promise<ObservedState> {
  try {
    const { status, body } = await callJson({
      address: member.address,
      method: 'GET',
      path: '/status',
      timeoutMs,
    });
    if (status !== 200) return 'silent';
    const report = body as EngineReport;
    if (report.group !== group || report.epoch !== epoch) return 'gone';
    if (report.state === 'serving' || report.state === 'draining') return 'serving';
    return report.state === 'loading' ? 'not-yet' : 'gone';
  } catch (err: unknown) {
    return (err as { code?: string }).code === 'ECONNREFUSED' ? 'gone' : 'silent';
  }
}

/** Options of `startWatch`. */
export interface WatchOptions {
  readonly beatMs: number;
  /** The group to watch; undefined unless this member is rank 0 of one. */
  readonly watched: () => Holding | undefined;
  /** All other members serve. */
  readonly onAllServing: (holding: Holding) => void;
  /** A member is gone, or did not respond to `SILENT_BEATS` heartbeats. */
  readonly onMissing: (holding: Holding) => void;
}

/** Starts the heartbeat; returns the function that stops it. */
export function startWatch({ beatMs, watched, onAllServing, onMissing }: WatchOptions): () => void {
  const silentBeats = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  const countSilence = (member: Member, state: ObservedState): ObservedState => {
    const beats = state === 'silent' ? (silentBeats.get(member.instance) ?? 0) + 1 : 0;
    silentBeats.set(member.instance, beats);
    return beats >= SILENT_BEATS ? 'gone' : state;
  };

  const beat = async (): Promise<void> => {
    const holding = watched();
    if (holding !== undefined) {
      const others = holding.members.filter((_, rank) => rank !== holding.rank);
      const observed = await Promise.all(
        others.map(async (member) =>
          countSilence(member, await pollMember(member, holding, beatMs)),
        ),
      );
      if (watched() === holding) {
        if (observed.includes('gone')) onMissing(holding);
        else if (observed.every((state) => state === 'serving')) onAllServing(holding);
      }
    }
    schedule();
  };

  const schedule = (): void => {
    if (stopped) return;
    timer = setTimeout(() => void beat(), beatMs);
  };

  schedule();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
