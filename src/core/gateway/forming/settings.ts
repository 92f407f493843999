/** Settings of the group planner. */

/**
 * What the planner does beside replacing lost members. Each mechanism can be disabled to measure its
 * effect (`npm run bench forming`).
 *
 * - `held-spares`: spares that complete an ending group are not used for another one.
 * - `reserve`: as many spares are kept as losses are expected.
 * - `wanted`: no weights are loaded for a group that the offered load would not fill.
 * - `rebalance`: a model that lacks groups takes servers from another model's groups.
 * - `worth`: servers go to the model whose callers gain most by another group, if demand is known.
 * - `staged-members`: one member of each smaller group has the larger model staged on its host.
 * - `spares`: spares are warm for one model and have another staged on their hosts.
 */
export type FormingMechanism =
  'held-spares' | 'reserve' | 'wanted' | 'rebalance' | 'worth' | 'staged-members' | 'spares';

/** Times and limits of the planner; all times in milliseconds. */
export interface FormingSettings {
  /** Mechanisms to disable, for measurement. */
  readonly disabledMechanisms: readonly FormingMechanism[];
  /** Time that a head waits for a lost member before it breaks; given by the platform. */
  readonly headBreakMs: number;
  /** Length of the window over which weight loads are counted; given by the platform. */
  readonly loadWindowMs: number;
  /**
   * Time after which an order without a visible effect is sent again: an answer takes a few
   * milliseconds, and the server's entry shows the effect within about 100. All orders are idempotent.
   */
  readonly resendMs: number;
  /**
   * Longest time between two sends of an order. After `fastResends` sends the interval doubles each
   * time: a server that still doesn't react is likely unreachable, and a fleet loses hundreds at once.
   */
  readonly maxResendMs: number;
  readonly fastResends: number;
  /** Time within which an order without an answer may still be carried out, after newer ones. */
  readonly lateOrderMs: number;
  /** Added to `headBreakMs` before members of an unreachable head are reused, for clock and report delays. */
  readonly starveMarginMs: number;
  /** Added to the expected time of a join before the group is abandoned. */
  readonly joinSlackMs: number;
  /** Time that a partly formed group of an earlier leader has to become complete. */
  readonly adoptTimeoutMs: number;
  /** Time that an unlisted head has to finish its requests: it cannot report that it has closed. */
  readonly unlistedFinishMs: number;
  /** Time that a group waits for its unlisted head to return before it is replaced at the cost of a load. */
  readonly unlistedHeadMs: number;
  /** Time that a closing group has to finish its requests: a little above the longest stream deadline. */
  readonly finishTimeoutMs: number;
  /**
   * A domain that no server joined for this long counts as settled. Before that, weights are loaded
   * only for the model that lacks groups most.
   */
  readonly settleMs: number;
  /** Concurrent weight loads for spares once callers are served: loads are expensive. */
  readonly maxSpareLoads: number;
  /** Share of the permitted load rate that is used; the rest is left for a change of leader. */
  readonly loadRateShare: number;
}

/** Defaults; the platform's figures replace `headBreakMs` and `loadWindowMs`. */
export const FORMING_DEFAULTS: FormingSettings = {
  disabledMechanisms: [],
  headBreakMs: 6_000,
  loadWindowMs: 5_000,
  resendMs: 200,
  maxResendMs: 1_600,
  fastResends: 5,
  lateOrderMs: 13_000,
  starveMarginMs: 500,
  joinSlackMs: 2_500,
  adoptTimeoutMs: 2_500,
  unlistedFinishMs: 1_500,
  unlistedHeadMs: 8_000,
  finishTimeoutMs: 9_000,
  settleMs: 900,
  maxSpareLoads: 6,
  loadRateShare: 0.8,
};
