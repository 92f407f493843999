/** Tells the request plane of lost groups, and whether their whole domain fell together. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { DomainId, GroupId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';
import type { WatchChange, Watches } from './watches';

export interface LostGroup {
  readonly group: GroupId;
  readonly domainDark: boolean;
}

export interface Losses {
  note(change: WatchChange): void;
  readonly lost: Observable<LostGroup>;
}

interface Loss {
  readonly group: GroupId;
  readonly at: MonoTime;
}

/** Groups of one domain lost within this time fell together. */
const TOGETHER_MS = 5_000;
const DARK_GROUPS = 2;

/**
 * A group is told of at once. Should it turn out within a few seconds that most groups of its domain
 * fell with it, all of them are told of again, with `domainDark` set.
 */
export function createLosses(ctx: ControlContext, watches: Watches): Losses {
  const lost = new Subject<LostGroup>();
  const recent = new Map<DomainId, readonly Loss[]>();

  const note = (change: WatchChange): void => {
    if (change.kind !== 'lost') return;
    const now = ctx.clock.now();
    const before = (recent.get(change.domain) ?? []).filter(
      (loss) => now - loss.at < TOGETHER_MS && loss.group !== change.group,
    );
    const fallen = [...before, { group: change.group, at: now }];
    recent.set(change.domain, fallen);
    if (!isDark(change.domain, fallen)) {
      lost.next({ group: change.group, domainDark: false });
      return;
    }
    for (const { group } of fallen) lost.next({ group, domainDark: true });
  };

  const isDark = (domain: DomainId, fallen: readonly Loss[]): boolean => {
    if (fallen.length < DARK_GROUPS) return false;
    const all = watches.all().filter(({ row }) => row.domain === domain).length;
    return fallen.length * 2 > all;
  };

  return { note, lost };
}
