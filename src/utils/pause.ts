/** Waiting. */

/** Resolves after `ms`; keeps the process alive meanwhile. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
