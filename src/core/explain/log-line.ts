/** The log line, input of reports and explanations. */

/** One line of a daemon's log. */
export interface LogLine {
  /** The daemon's wall clock, milliseconds since the epoch. */
  readonly at: number;
  readonly daemon: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
