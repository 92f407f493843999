/** Reports lost groups to the request plane, and whether most of their domain was lost with them. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { DomainId, GroupId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';
import type { WatchChange, Watches } from './watches';

/** A group that stopped being routable. */
export interface LostGroup {
  readonly group: GroupId;
  /** Whether most groups of its domain were lost together. */
  readonly isDomainDown: boolean;
}

/** Detects outages among lost groups. */
export interface Losses {
  note(change: WatchChange): void;
  readonly lost: Observable<LostGroup>;
}

interface Loss {
  readonly group: GroupId;
  readonly at: MonoTime;
}

/** Losses in one domain within this time count as one outage. */
const CORRELATION_WINDOW_MS = 5_000;
const MIN_OUTAGE_GROUPS = 2;

/**
 * A lost group is reported at once. If most groups of its domain are lost within a few seconds, all
 * of them are reported again, with `isDomainDown` set.
 */
export function createLosses(ctx: ControlContext, watches: Watches): Losses {
  const lost = new Subject<LostGroup>();
  const recent = new Map<DomainId, readonly Loss[]>();

  const note = (change: WatchChange): void => {
    if (change.kind !== 'lost') return;
    const now = ctx.clock.now();
    const earlier = (recent.get(change.domain) ?? []).filter(
      (loss) => now - loss.at < CORRELATION_WINDOW_MS && loss.group !== change.group,
    );
    const losses = [...earlier, { group: change.group, at: now }];
    recent.set(change.domain, losses);
    if (!isDomainDown(change.domain, losses)) {
      lost.next({ group: change.group, isDomainDown: false });
      return;
    }
    for (const { group } of losses) lost.next({ group, isDomainDown: true });
  };

  const isDomainDown = (domain: DomainId, losses: readonly Loss[]): boolean => {
    if (losses.length < MIN_OUTAGE_GROUPS) return false;
    const all = watches.all().filter(({ row }) => row.domain === domain).length;
    return losses.length * 2 > all;
  };

  return { note, lost };
}
