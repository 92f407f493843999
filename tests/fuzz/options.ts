/** Options of a fuzz run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  /** Called with the number of passed histories, by properties that run histories in sequence. */
  readonly onRun?: (passed: number) => void;
}
