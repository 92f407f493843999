/**
 * Yields to the event loop before each test. Tests that never wait block it, and a file with hundreds of
 * them delays the messages to the test runner, which times out after a minute.
 */

import { setImmediate } from 'node:timers/promises';
import { beforeEach } from 'vitest';

beforeEach(async () => {
  await setImmediate();
});
