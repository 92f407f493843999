/**
 * Public API: the system's decision logic as pure reducers, and the daemon built from them.
 *
 * A reducer takes a state, an event and the current time, and returns the next state and the effects to
 * execute. The caller provides clock, network and stores, so that a recorded list of events replays exactly.
 */

export { createReducer, next } from './core/reducer';
export type { HandlerTable, Kinded, Reducer, Step, StepContext } from './core/reducer';

/** Leases with fencing numbers, one per fabric domain. */
export { createLease, isHolder, reduceLease } from './core/lease/lease';
export type { LeaseEffect, LeaseEvent, LeaseState } from './core/lease/types';

/** Replica groups of one domain, and whether a group may receive requests. */
export { createDomain, reduceDomain } from './core/groups/domain';
export { createWatch, reduceWatch, routableUntil } from './core/groups/watch';

/** Membership: which daemons are alive, and the entries that they exchange. */
export { createMembershipState } from './core/membership/state';
export { reduceMembership } from './core/membership/membership';

/** Configuration: validating a document, submitting it, and the version in force. */
export { checkDocument } from './core/config/check';
export { resolve } from './core/config/resolve';
export { NOTHING_IN_FORCE, reduceInForce } from './core/config/in-force';
export { reduceSubmit } from './core/config/submit';

/** Admission control under overload, and routing to a replica group. */
export { admit, createAdmission, expire, release, setCapacity } from './core/admission/admission';
export { chooseGroup, createRouting } from './core/routing/routing';

/** Request outcomes, and errors with the step and peer at which they occurred. */
export type { Done, NotRun, Outcome, OutcomeKind, Unknown } from './core/outcome';
export { StepError } from './utils/errors';
export type { ErrorCode } from './utils/errors';

/** The complete daemon. */
export { startDaemon } from './app/daemon';
export type { DaemonAddresses, DaemonSettings, RunningDaemon } from './app/settings';
