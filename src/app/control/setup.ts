/** Builds what the control plane starts from: its context, model plans and errors. */

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

/** Fills in the settings and chooses a session id, unique to this process. */
export function createContext({ settings, ...deps }: ControlDeps): ControlContext {
  const randomPart = () => Math.floor(deps.random.next() * SESSION_RANGE).toString(SESSION_RADIX);
  // Includes the start time, because two processes may use the same random seed.
  const session = `${deps.clock.epoch().toString(SESSION_RADIX)}-${randomPart()}${randomPart()}`;
  return { ...deps, settings: settingsFrom(settings), session, inFlight: createInFlight() };
}

/** A plan for each configured model. */
export function plansOf({ models }: Config): Readonly<Record<ModelId, ModelPlan>> {
  const plans: Record<ModelId, ModelPlan> = {};
  for (const spec of Object.values(models)) plans[spec.id] = planFor(spec);
  return plans;
}

/** The error of draining an instance that the platform does not list. */
export function unknownInstanceError(instance: InstanceId): StepError {
  return fail('not-found', 'instance is not in the platform list', {
    step: 'drain-instance',
    peer: instance,
  });
}
