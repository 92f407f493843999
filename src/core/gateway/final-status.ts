/**
 * Which status codes an answer may have. A parser passes on any three digits, while Node refuses to send a status
 * below 100, one below 200 never ends an answer (RFC 9110, 15.2), and one above 599 is invalid (RFC 9110, 15).
 */

const FIRST_FINAL = 200;
const LAST = 599;

/** Whether an answer with this status can be complete, and be sent on. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL && status <= LAST;
}
