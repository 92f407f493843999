/**
 * The public entry: the decisions of the system, free of I/O, and the daemon made of them.
 *
 * A reducer takes a state, an event and the instant, and gives the next state with the effects to
 * carry out. Whoever drives one brings clock, network and stores; a list of events replays exactly.
 */

export { createReducer, next } from './core/reducer';
export type { HandlerTable, Kinded, Reducer, Step, StepContext } from './core/reducer';

/** Leases with fencing numbers, one for each fabric domain. */
export { createLease, isHolder, reduceLease } from './core/lease/lease';
export type { LeaseEffect, LeaseEvent, LeaseState } from './core/lease/types';

/** Replica groups of one domain, and whether a group may be given requests. */
export { createDomain, reduceDomain } from './core/groups/domain';
export { createWatch, reduceWatch, routableUntil } from './core/groups/watch';

/** Which daemons are alive, and what they tell each other. */
export { createMembershipState } from './core/membership/state';
export { reduceMembership } from './core/membership/membership';

/** Configuration: the check of a document, submitting it, and what is in force. */
export { checkDocument } from './core/config/check';
export { resolve } from './core/config/resolve';
export { NOTHING_IN_FORCE, reduceInForce } from './core/config/in-force';
export { reduceSubmit } from './core/config/submit';

/** Admission under overload and the choice of a replica group. */
export { admit, createAdmission, expire, release, setCapacity } from './core/admission/admission';
export { chooseGroup, createRouting } from './core/routing/routing';

/** What callers are told, and errors with the step and peer at which they arose. */
export type { Done, NotRun, Outcome, OutcomeKind, Unknown } from './core/outcome';
export { StepError } from './utils/errors';
export type { ErrorCode } from './utils/errors';

/** The whole daemon. */
export { startDaemon } from './app/daemon';
export type { DaemonAddresses, DaemonSettings, RunningDaemon } from './app/settings';
