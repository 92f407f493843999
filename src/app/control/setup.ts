/** What a control plane starts from. */

import { planFor } from '../../core/groups/policies';
import type { ModelPlan } from '../../core/groups/domain-types';
import type { Config } from '../../core/config/types';
import type { InstanceId, ModelId } from '../../core/ids';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { createInFlight } from './context';
import type { ControlContext, ControlDeps } from './context';
import { settingsFrom } from './settings';

const SESSION_RANGE = 0x7fff_ffff;
const SESSION_RADIX = 36;

export function contextOf({ settings, ...deps }: ControlDeps): ControlContext {
  const draw = () => Math.floor(deps.random.next() * SESSION_RANGE).toString(SESSION_RADIX);
  // The start time too: two processes may have been given the same seed.
  const session = `${deps.clock.epoch().toString(SESSION_RADIX)}-${draw()}${draw()}`;
  return { ...deps, settings: settingsFrom(settings), session, inFlight: createInFlight() };
}

export function plansOf({ models }: Config): Readonly<Record<ModelId, ModelPlan>> {
  const plans: Record<ModelId, ModelPlan> = {};
  for (const spec of Object.values(models)) plans[spec.id] = planFor(spec);
  return plans;
}

export function unknownInstance(instance: InstanceId): StepError {
  return fail('not-found', 'no such instance in the platform list', {
    step: 'drain-instance',
    peer: instance,
  });
}
