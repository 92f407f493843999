/**
 * Bounds the log. Lines beyond a budget are left out and counted, so that a flood of ordinary lines
 * costs neither processor time nor the lines that matter: warnings have a budget of their own.
 */

export interface LineBudget {
  /** Lines a second that are written in the long run. */
  readonly perS: number;
  /** Lines that may be written at once after a quiet time. */
  readonly burst: number;
}

export interface BoundedLinesOptions {
  /** Takes a line; false where it cannot. */
  readonly write: (line: string) => boolean;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly ordinary?: LineBudget;
  readonly important?: LineBudget;
}

/** Twice what a daemon of the users' fleets writes at its highest load, one line a request. */
const ORDINARY: LineBudget = { perS: 100, burst: 300 };
const IMPORTANT: LineBudget = { perS: 100, burst: 500 };
/** Left-out lines are reported at this interval, milliseconds. */
const REPORT_MS = 1_000;
const MS_PER_S = 1_000;
const IMPORTANT_LINE = /"level":"(?:warn|error)"/;

interface Bucket {
  readonly budget: LineBudget;
  left: number;
  at: number;
}

function take(bucket: Bucket, now: number): boolean {
  const { perS, burst } = bucket.budget;
  bucket.left = Math.min(burst, bucket.left + ((now - bucket.at) * perS) / MS_PER_S);
  bucket.at = now;
  if (bucket.left < 1) return false;
  bucket.left -= 1;
  return true;
}

/** A writer for the logger that keeps to the budgets. */
export function createBoundedLines({
  write,
  now,
  ordinary = ORDINARY,
  important = IMPORTANT,
}: BoundedLinesOptions): (line: string) => void {
  const buckets = {
    ordinary: { budget: ordinary, left: ordinary.burst, at: now() },
    important: { budget: important, left: important.burst, at: now() },
  };
  let leftOut = 0;
  let reportedAt = now();

  const report = (time: number): void => {
    if (leftOut === 0 || time < reportedAt + REPORT_MS) return;
    const message = 'log lines left out';
    reportedAt = time;
    if (write(JSON.stringify({ level: 'warn', message, step: 'log', count: leftOut }))) leftOut = 0;
  };

  return (line) => {
    const time = now();
    const bucket = IMPORTANT_LINE.test(line) ? buckets.important : buckets.ordinary;
    if (!take(bucket, time) || !write(line)) leftOut += 1;
    report(time);
  };
}
