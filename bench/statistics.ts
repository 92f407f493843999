/** Statistics helpers of the benchmarks. */

/** Nearest-rank quantile: `part` is the fraction, 0 to 1. Returns 0 if there are no values. */
export function quantile(values: readonly number[], part: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const rank = Math.max(0, Math.ceil(part * sorted.length) - 1);
  return sorted[rank] ?? 0;
}

export function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Rounds to `digits` decimal places. */
export function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}

/** Mean, minimum and maximum over seeds. */
export interface Summary {
  readonly mean: number;
  readonly min: number;
  readonly max: number;
}

export function summarise(values: readonly number[], digits = 3): Summary {
  return {
    mean: round(mean(values), digits),
    min: round(Math.min(...values), digits),
    max: round(Math.max(...values), digits),
  };
}
