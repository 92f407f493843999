/**
 * Gives the event loop a turn before each test. Tests that run without a wait leave it none, and a file
 * of hundreds of them then holds up the messages to the test runner, which gives up after a minute.
 */

import { setImmediate } from 'node:timers/promises';
import { beforeEach } from 'vitest';

beforeEach(async () => {
  await setImmediate();
});
