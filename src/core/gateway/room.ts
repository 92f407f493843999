/**
 * How much of the room in a model's groups one daemon may use before it hears of the others again.
 *
 * Load pattern: groups are lost, and many daemons have requests waiting. All of them see the same free
 * places at the same moment, from loads that are some tenths of a second old. If each takes them, the
 * surplus waits in the groups' engines in order of arrival, out of reach of our own order of waiting:
 * requests that are late already stand before those that could be on time, and the backlog outlives its
 * cause.
 *
 * So while more is asked for than there is room, the room is divided by need, fractions by lot. A place that
 * one of a daemon's own streams gave back is free before the others know of it: most of these are used
 * again at once, the rest is left to daemons that have no streams.
 */

/** What a group can take, as a daemon sees it. */
export interface GroupRoom {
  readonly running: number;
  readonly batchSize: number;
  /** Prompt tokens in it that wait to be read, and how many may. */
  readonly unread: number;
  readonly maxUnread: number;
  /** Tokens of a usual prompt. */
  readonly usualPrompt: number;
  /** Usual prompts that are read until loads are heard of again. */
  readonly readMeanwhile: number;
}

/**
 * Requests beyond the places of a group, as a part of them. A place that becomes free is taken at once, where
 * it would else stay empty until daemons hear of it; few enough to wait for less than a usual objective.
 */
const QUEUED_SHARE = 0.2;

/** Requests that a group may have at a time. */
export function mostRunning(batchSize: number): number {
  return batchSize + Math.round(QUEUED_SHARE * batchSize);
}

/** Requests that the group can take without holding up those that it has. */
export function roomIn(group: GroupRoom): number {
  const places = mostRunning(group.batchSize) - group.running;
  const prompts = (group.maxUnread - group.unread) / group.usualPrompt + group.readMeanwhile;
  return Math.max(0, Math.min(places, Math.ceil(prompts)));
}

/** What is asked for of a model: requests that wait, and new ones a second. */
export interface Asked {
  readonly waiting: number;
  readonly perSecond: number;
}

const MS_PER_S = 1_000;

/** Requests that wait, or will come within `ms` milliseconds. */
export function expectDemand({ waiting, perSecond }: Asked, ms: number): number {
  return waiting + (perSecond * ms) / MS_PER_S;
}

/** Requests for a model that have no place, or will come until loads are heard of again. */
export interface Demand {
  readonly here: number;
  readonly elsewhere: number;
}

/** What a daemon did with the room of a model since loads were last taken in. */
export interface RoomUse {
  /** Room in all groups when the loads were taken in. */
  readonly room: number;
  /** In [0, 1): decides on the fraction of a place. */
  readonly lot: number;
  /** Requests that were sent since, and those that ended. */
  readonly sent: number;
  readonly ended: number;
}

/** Part of the places given back that is used again at once. */
const REUSED_SHARE = 0.8;

/** Further requests that this daemon may send to groups of the model. */
export function mayTake({ room, lot, sent, ended }: RoomUse, { here, elsewhere }: Demand): number {
  if (here + elsewhere <= room) return Infinity;
  const share = here / (here + elsewhere);
  return Math.floor(room * share + REUSED_SHARE * ended + lot) - sent;
}
