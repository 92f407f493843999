/** Shared by the entry points: the ready line on stdout, and shutdown on SIGTERM. */

/** A started stand-in. */
export interface Running {
  readonly address: string;
  close(): Promise<void>;
}

/** Prints the ready line, one JSON object; closes and exits on SIGTERM or SIGINT. */
export function announce(role: string, running: Running, more: object = {}): void {
  process.stdout.write(
    `${JSON.stringify({ ready: true, role, address: running.address, ...more })}\n`,
  );
  const stop = (): void => {
    void running.close().finally(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

/** Prints the error of a failed start and exits with 1. */
export function exitOnFailure(started: Promise<void>): void {
  started.catch((err: unknown) => {
    process.stderr.write(`${String(err)}\n`);
    process.exit(1);
  });
}
