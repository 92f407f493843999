/** The one shape of a decision: state and event in, state and effects out. */

import type { MonoTime } from './ids';

/** What a step may know besides its state and its event. */
export interface StepContext {
  /** Now, on the monotonic clock of the process that decides. */
  readonly now: MonoTime;
}

/** The outcome of one step. */
export interface Step<S, Fx> {
  readonly state: S;
  readonly effects: readonly Fx[];
}

/** Anything with a `kind` to look a handler up by. */
export interface Kinded {
  readonly kind: string;
}

/** A handler for each kind of event. */
export type HandlerTable<S, Ev extends Kinded, Fx, Ctx extends StepContext = StepContext> = {
  readonly [K in Ev['kind']]: (state: S, event: Extract<Ev, { kind: K }>, ctx: Ctx) => Step<S, Fx>;
};

/** A whole subsystem as one function. */
export type Reducer<S, Ev extends Kinded, Fx, Ctx extends StepContext = StepContext> = (
  state: S,
  event: Ev,
  ctx: Ctx,
) => Step<S, Fx>;

/** Makes a reducer from its table of handlers. */
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

/** A step that changes the state and asks for `effects`. */
export function next<S, Fx>(state: S, ...effects: readonly Fx[]): Step<S, Fx> {
  return { state, effects };
}
