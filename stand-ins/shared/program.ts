/** What the entry points share: the line that says ready, and the end on SIGTERM. */

/** Something that runs until closed. */
export interface Running {
  readonly address: string;
  close(): Promise<void>;
}

/** Prints the ready line and closes on SIGTERM or SIGINT. */
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

/** Prints why a stand-in did not start, and ends it. */
export function exitOnFailure(started: Promise<void>): void {
  started.catch((err: unknown) => {
    process.stderr.write(`${String(err)}\n`);
    process.exit(1);
  });
}
