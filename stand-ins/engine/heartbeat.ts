/** Rank 0's watch over the other members of its group. */

import type { EngineReport, Member } from '../../src/core/groups/types';
import { callJson } from '../shared/client';
import type { Holding } from './orders';

/** How a member looks to rank 0. */
export type MemberSight = 'serving' | 'not-yet' | 'gone' | 'silent';

/** Beats of silence after which a member counts as gone. */
export const SILENT_BEATS = 6;

/** Looks at one member. */
export async function lookAt(
  member: Member,
  { group, epoch }: Holding,
  timeoutMs: number,
): Promise<MemberSight> {
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

export interface WatchOptions {
  readonly beatMs: number;
  /** The group to watch; none while not rank 0 of one. */
  readonly watched: () => Holding | undefined;
  /** All others serve. */
  readonly onWhole: (holding: Holding) => void;
  /** One is gone, or silent for too long. */
  readonly onMissing: (holding: Holding) => void;
}

/** Starts the watch; returns the function that ends it. */
export function startWatch({ beatMs, watched, onWhole, onMissing }: WatchOptions): () => void {
  const silentBeats = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  const judge = (member: Member, sight: MemberSight): MemberSight => {
    const beats = sight === 'silent' ? (silentBeats.get(member.instance) ?? 0) + 1 : 0;
    silentBeats.set(member.instance, beats);
    return beats >= SILENT_BEATS ? 'gone' : sight;
  };

  const beat = async (): Promise<void> => {
    const holding = watched();
    if (holding !== undefined) {
      const others = holding.members.filter((_, rank) => rank !== holding.rank);
      const sights = await Promise.all(
        others.map(async (member) => judge(member, await lookAt(member, holding, beatMs))),
      );
      if (watched() === holding) {
        if (sights.includes('gone')) onMissing(holding);
        else if (sights.every((sight) => sight === 'serving')) onWhole(holding);
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
