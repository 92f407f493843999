/** The quantile at `share` (0 to 1); the upper one if it lies between two values; 0 without any. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
