/** Whether a request on the list of refused ones may be tried once more, in case it was not at fault. */

import { TRIAL_DELAY_MS } from '../../../core/gateway/refused-requests';
import { later } from '../../../core/ids';
import type { Fingerprint, MonoTime } from '../../../core/ids';
import type { QuarantineState } from '../../../core/retry/quarantine-types';
import type { RefusedList } from './refused-list';
import type { Standing } from './standing';

export interface Trials {
  /** Standing of a request on the list, final only once it has failed its trial; undefined if it is not listed. */
  standingOf(fingerprint: Fingerprint): Standing | undefined;
}

export interface TrialsDeps {
  readonly state: QuarantineState;
  readonly refused: Pick<RefusedList, 'get' | 'isTurn'>;
}

export function createTrials({ state, refused }: TrialsDeps): Trials {
  /** Whether the request runs on trial here, or was interrupted or lost a group since it is refused. */
  const isTried = (fingerprint: Fingerprint, refusedAt: MonoTime): boolean => {
    const isOwn = (one: { readonly fingerprint: Fingerprint }): boolean =>
      one.fingerprint === fingerprint;
    const confirmed = [...(state.strikes.get(fingerprint)?.values() ?? [])];
    const strikes = [...confirmed, ...state.pending.filter(isOwn)];
    return (
      strikes.some(({ at }) => at > refusedAt) ||
      state.interrupted.some(isOwn) ||
      [...state.running.values()].some(isOwn)
    );
  };

  return {
    standingOf: (fingerprint) => {
      const entry = refused.get(fingerprint);
      if (!entry) return undefined;
      const { trialAt } = entry;
      if (trialAt === undefined) return 'refused';
      const refusedAt = later(trialAt, -TRIAL_DELAY_MS);
      return refused.isTurn(trialAt) && !isTried(fingerprint, refusedAt) ? 'suspect' : 'held';
    },
  };
}
