/** Compares each group policy with a simple baseline over seeded fault histories. */

import { policiesOf } from '../src/core/groups/policies';
import type { PolicyNames } from '../src/core/groups/domain-types';
import type { GroupWeights } from '../src/core/config/types';
import { createHistory } from './groups-history';
import { modelOf, playHistory } from './groups-loop';
import type { LoopResult } from './groups-loop';

export interface GroupsBenchOptions {
  readonly seeds?: number;
  readonly days?: number;
}

/** Results of one policy variant in one organisation's setting. */
export interface GroupsBenchRow {
  readonly setting: string;
  readonly policies: string;
  /** Seconds per day in which a group of the main model could not serve. */
  readonly downtimePerDay: number;
  /** The same for the small model that borrows the reserve, if there is one. */
  readonly smallDowntimePerDay: number;
  /** Accelerator-seconds per day on running instances that no serving group used. */
  readonly strandedPerDay: number;
  /** Downtime and stranded accelerators, weighted by the organisation's weights. */
  readonly costPerDay: number;
  readonly loadsPerDay: number;
  readonly faults: number;
}

interface Setting {
  readonly name: string;
  readonly weights: GroupWeights;
  /** A single-member model, worth a tenth, may use instances that the main model does not. */
  readonly hasSmall: boolean;
}

interface Variant {
  readonly policies: PolicyNames;
  readonly instances: number;
}

const MEMBERS = 4;
const REPLICAS = 4;
/** 4 groups of 4 instances, with or without one spare. */
const WITH_SPARE = 17;
const WITHOUT_SPARE = 16;
const SMALL_WORTH = 0.1;

const SETTINGS: readonly Setting[] = [
  { name: 'armor', weights: { downtime: 20, stranded: 1 }, hasSmall: false },
  { name: 'umurage', weights: { downtime: 2, stranded: 1 }, hasSmall: true },
];

/** Replaces on timeout, with one instance kept idle in each domain. */
const BASELINE: PolicyNames = {
  replace: 'timeout',
  choose: 'lowest-id',
  loads: 'arrival',
  spares: 'one',
};

function variantsOf(weights: GroupWeights): Readonly<Record<string, Variant>> {
  const chosen = policiesOf({ weights, policies: {} });
  const spared = (policies: PolicyNames): Variant => ({ policies, instances: WITH_SPARE });
  return {
    baseline: spared(BASELINE),
    'baseline, other replace': spared({ ...BASELINE, replace: chosen.replace }),
    'baseline, other choose': spared({ ...BASELINE, choose: chosen.choose }),
    'baseline, other loads': spared({ ...BASELINE, loads: chosen.loads }),
    'baseline, other spares': spared({ ...BASELINE, spares: chosen.spares }),
    chosen: spared(chosen),
    'chosen, never replaced': spared({ ...chosen, replace: 'wait' }),
    'chosen, without lending': spared({ ...chosen, choose: 'warm-first' }),
    'chosen, no instance to spare': { policies: chosen, instances: WITHOUT_SPARE },
  };
}

function simulate(setting: Setting, variant: Variant, seed: number, days: number): LoopResult {
  const { weights } = setting;
  const { policies, instances } = variant;
  const main = modelOf('main', {
    membersPerReplica: MEMBERS,
    replicas: REPLICAS,
    weights,
    policies,
  });
  const small = modelOf('small', {
    membersPerReplica: 1,
    replicas: 1,
    weights: { ...weights, downtime: weights.downtime * SMALL_WORTH },
    policies,
  });
  const models = setting.hasSmall && instances === WITH_SPARE ? [main, small] : [main];
  const faults = createHistory({ seed, days, instances });
  return playHistory({ instances, models, faults, days });
}

function summarise(
  setting: Setting,
  name: string,
  results: readonly LoopResult[],
  days: number,
): GroupsBenchRow {
  const perDay = (pick: (result: LoopResult) => number): number => {
    const sum = results.reduce((total, result) => total + pick(result), 0);
    return Math.round((sum / (days * results.length)) * 10) / 10;
  };
  const downtimePerDay = perDay(({ downtimeS }) => downtimeS.main ?? 0);
  const smallDowntimePerDay = perDay(({ downtimeS }) => downtimeS.small ?? 0);
  const strandedPerDay = perDay(({ strandedS }) => strandedS);
  const { downtime, stranded } = setting.weights;
  const cost =
    downtime * (downtimePerDay + smallDowntimePerDay * SMALL_WORTH) + stranded * strandedPerDay;
  return {
    setting: setting.name,
    policies: name,
    downtimePerDay,
    smallDowntimePerDay,
    strandedPerDay,
    costPerDay: Math.round(cost),
    loadsPerDay: perDay(({ loads }) => loads),
    faults: results.reduce((total, { faults }) => total + faults, 0),
  };
}

/** Measures all variants in both settings, over the same histories. */
export function benchGroups(options: GroupsBenchOptions = {}): readonly GroupsBenchRow[] {
  const { seeds = 2, days = 20 } = options;
  return SETTINGS.flatMap((setting) =>
    Object.entries(variantsOf(setting.weights)).map(([name, variant]) => {
      const results = Array.from({ length: seeds }, (_, seed) =>
        simulate(setting, variant, seed + 1, days),
      );
      return summarise(setting, name, results, days);
    }),
  );
}
