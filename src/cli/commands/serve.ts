/** `serve`: runs the daemon. */

import { logFatalErrors } from '../../adapters/telemetry/fatal-errors';
import { StepError } from '../../utils/errors';
import { EXIT, refused } from '../command';
import type { Command, CommandResult } from '../command';
import { readSettings } from '../settings';
import type { SettingFault } from '../settings';

function settingsFailure(faults: readonly SettingFault[]): CommandResult {
  const fields = faults.map(({ flag, variable, message }) => ({
    path: `${flag} (${variable})`,
    message,
  }));
  const message = 'invalid settings; the daemon was not started';
  return { exit: EXIT.usage, error: { code: 'usage', message, fields } };
}

/** Resolves on the first SIGTERM or SIGINT. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}

function startFailure(err: unknown): CommandResult {
  if (!(err instanceof StepError)) throw err;
  const { code, message, step, peer } = err;
  return refused({ code, message, step, ...(peer === undefined ? {} : { peer }) });
}

/** Runs until SIGTERM or SIGINT, then drains and stops. Prints one JSON line when ready. */
export const serve: Command = async ({ flags, env, startDaemon }) => {
  const settings = readSettings(flags, env);
  if (settings.isErr()) return settingsFailure(settings.error);
  const { id } = settings.value;
  const stopLogging = logFatalErrors({ daemon: id });
  try {
    const daemon = await startDaemon(settings.value);
    const { addresses } = daemon;
    process.stdout.write(`${JSON.stringify({ ready: true, role: 'daemon', id, addresses })}\n`);
    // The daemon also stops when an operator drains it.
    void waitForStopSignal().then(() => daemon.drain());
    await daemon.stopped;
    return { exit: EXIT.done };
  } catch (err: unknown) {
    return startFailure(err);
  } finally {
    stopLogging();
  }
};
