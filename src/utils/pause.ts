/** Resolves after `ms` milliseconds; the timer keeps the process alive. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
