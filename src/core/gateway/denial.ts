/**
 * Whether a request that the known configuration does not allow is denied for good, or asked to come back.
 *
 * Load pattern: callers of a new organisation or route come right after the operator's change was
 * acknowledged, and some of them reach a daemon that the store has not answered for a while. A denial is
 * final: callers do not repeat a request after 401 or 404. One that has not run and may be allowed by a
 * configuration which this daemon cannot know yet is refused instead, and its caller comes back.
 */

/** `ageMs`: time since the known configuration was confirmed to be the newest; `configMs`: time in which one is in force. */
export function mayDeny(ageMs: number, configMs: number): boolean {
  return ageMs < configMs;
}
