/**
 * Decides whether a request that the known configuration doesn't allow is denied, or refused with a request
 * to retry.
 *
 * Load pattern: callers of a new organisation or route arrive right after the operator's change was
 * acknowledged, and some reach a daemon that has had no response from the store for a while. A denial is
 * final: callers don't repeat a request after 401 or 404. A request that has not run and may be allowed by a
 * configuration that this daemon doesn't have yet is therefore refused instead, and its caller retries.
 */

/**
 * Whether the known configuration is recent enough to deny a request.
 *
 * @param ageMs Time since the known configuration was confirmed to be the newest.
 * @param configMs Time within which a new configuration takes effect on all daemons.
 */
export function mayDeny(ageMs: number, configMs: number): boolean {
  return ageMs < configMs;
}
