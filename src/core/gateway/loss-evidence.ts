/** Evidence of a loss: how servers answered a request for a report. */

/**
 * How a server answered a request for its report.
 *
 * - `answered`: with a report, `ms` after it was asked.
 * - `ended`: its port refuses connections, or another process answers there.
 * - `silent`: nothing of use came within `ms`.
 */
export type Answer =
  | { readonly kind: 'answered'; readonly ms: number }
  | { readonly kind: 'ended'; readonly ms: number }
  | { readonly kind: 'silent'; readonly ms: number };

const ANSWER_FORMATS: Readonly<Record<Answer['kind'], (ms: number) => string>> = {
  answered: (ms) => `${ms}ms`,
  ended: () => 'ended',
  silent: (ms) => `silent ${ms}ms`,
};

/** The answers of servers for a log line, by id. */
export function formatAnswers(answers: Iterable<readonly [string, Answer]>): string {
  return [...answers]
    .map(([id, { kind, ms }]) => `${id}: ${ANSWER_FORMATS[kind](Math.round(ms))}`)
    .join(', ');
}
