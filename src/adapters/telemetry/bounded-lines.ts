/**
 * Rate limits the log by token buckets. Lines beyond the limit are dropped and counted, so that a flood of
 * ordinary lines neither costs CPU time nor displaces warnings and errors, which have their own bucket.
 */

export interface LineBudget {
  /** Sustained rate, lines per second. */
  readonly perS: number;
  /** Bucket size: lines that may be written at once after idle time. */
  readonly burst: number;
}

export interface BoundedLinesOptions {
  /** Writes a line; returns false if the line was dropped. */
  readonly write: (line: string) => boolean;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly ordinary?: LineBudget;
  readonly important?: LineBudget;
}

/** Twice the peak rate of a daemon of the users' fleets, which writes one line per request. */
const ORDINARY: LineBudget = { perS: 100, burst: 300 };
const IMPORTANT: LineBudget = { perS: 100, burst: 500 };
/** Interval at which dropped lines are reported, milliseconds. */
const REPORT_MS = 1_000;
const MS_PER_S = 1_000;
const IMPORTANT_LINE = /"level":"(?:warn|error)"/;

interface Bucket {
  readonly budget: LineBudget;
  tokens: number;
  at: number;
}

/** Takes one token, if available, after refilling the bucket. */
function take(bucket: Bucket, now: number): boolean {
  const { perS, burst } = bucket.budget;
  bucket.tokens = Math.min(burst, bucket.tokens + ((now - bucket.at) * perS) / MS_PER_S);
  bucket.at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

/** Creates a rate-limited `write` for the logger. */
export function createBoundedLines({
  write,
  now,
  ordinary = ORDINARY,
  important = IMPORTANT,
}: BoundedLinesOptions): (line: string) => void {
  const buckets = {
    ordinary: { budget: ordinary, tokens: ordinary.burst, at: now() },
    important: { budget: important, tokens: important.burst, at: now() },
  };
  let dropped = 0;
  let reportedAt = now();

  const report = (time: number): void => {
    if (dropped === 0 || time < reportedAt + REPORT_MS) return;
    const message = 'log lines left out';
    reportedAt = time;
    if (write(JSON.stringify({ level: 'warn', message, step: 'log', count: dropped }))) dropped = 0;
  };

  return (line) => {
    const time = now();
    const bucket = IMPORTANT_LINE.test(line) ? buckets.important : buckets.ordinary;
    if (!take(bucket, time) || !write(line)) dropped += 1;
    report(time);
  };
}
