/** Reducers: each step takes a state and an event, and returns the next state and effects. */

import type { MonoTime } from './ids';

/** Inputs of a step besides its state and its event. */
export interface StepContext {
  /** Now, on this process's monotonic clock. */
  readonly now: MonoTime;
}

/** The result of one step. */
export interface Step<S, Fx> {
  readonly state: S;
  readonly effects: readonly Fx[];
}

/** A variant of a discriminated union; `kind` selects its handler. */
export interface Kinded {
  readonly kind: string;
}

/** A handler for each kind of event. */
export type HandlerTable<S, Ev extends Kinded, Fx, Ctx extends StepContext = StepContext> = {
  readonly [K in Ev['kind']]: (state: S, event: Extract<Ev, { kind: K }>, ctx: Ctx) => Step<S, Fx>;
};

/** A subsystem as one pure function. */
export type Reducer<S, Ev extends Kinded, Fx, Ctx extends StepContext = StepContext> = (
  state: S,
  event: Ev,
  ctx: Ctx,
) => Step<S, Fx>;

/** Creates a reducer from a table of handlers. */
export function createReducer<S, Ev extends Kinded, Fx, Ctx extends StepContext = StepContext>(
  handlers: HandlerTable<S, Ev, Fx, Ctx>,
): Reducer<S, Ev, Fx, Ctx> {
  return (state, event, ctx) => {
    const handler = handlers[event.kind as Ev['kind']] as (
      state: S,
      event: Ev,
      ctx: Ctx,
    ) => Step<S, Fx>;
    return handler(state, event, ctx);
  };
}

/** The step that results in `state` and requests `effects`. */
export function next<S, Fx>(state: S, ...effects: readonly Fx[]): Step<S, Fx> {
  return { state, effects };
}
