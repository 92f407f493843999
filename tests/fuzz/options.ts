/** How a fuzz run is asked for. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  /** Told the number of histories that have passed, by properties that play one after the other. */
  readonly onRun?: (passed: number) => void;
}
