/** `serve`: the daemon. */

import { StepError } from '../../utils/errors';
import { EXIT, refused } from '../command';
import type { Command, CommandResult } from '../command';
import { readSettings } from '../settings';
import type { SettingFault } from '../settings';

function settingsRefused(faults: readonly SettingFault[]): CommandResult {
  const fields = faults.map(({ flag, variable, message }) => ({
    path: `${flag} (${variable})`,
    message,
  }));
  const message = 'the settings are wrong; nothing was started';
  return { exit: EXIT.usage, error: { code: 'usage', message, fields } };
}

/** Resolves with the first signal that asks for the planned stop. */
function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}

function startRefused(err: unknown): CommandResult {
  if (!(err instanceof StepError)) throw err;
  const { code, message, step, peer } = err;
  return refused({ code, message, step, ...(peer === undefined ? {} : { peer }) });
}

/** Runs until SIGTERM or SIGINT, then stops gracefully. Prints one line when ready. */
export const serve: Command = async ({ flags, env, startDaemon }) => {
  const settings = readSettings(flags, env);
  if (settings.isErr()) return settingsRefused(settings.error);
  const { id } = settings.value;
  try {
    const daemon = await startDaemon(settings.value);
    const { addresses } = daemon;
    process.stdout.write(`${JSON.stringify({ ready: true, role: 'daemon', id, addresses })}\n`);
    // An operator's drain ends the daemon too.
    void stopRequested().then(() => daemon.drain());
    await daemon.stopped;
    return { exit: EXIT.done };
  } catch (err: unknown) {
    return startRefused(err);
  }
};
