/** The public entry: what other programs may build on. */

export { createReducer, next } from './core/reducer';
export type { HandlerTable, Kinded, Reducer, Step, StepContext } from './core/reducer';
export type { Done, NotRun, Outcome, OutcomeKind, Unknown } from './core/outcome';
export { StepError } from './utils/errors';
export type { ErrorCode } from './utils/errors';
