import { expect, it } from 'vitest';

import { findWronglyRefused, runSeed } from './crashes';

// Guards against refusing a request that many callers send because its one trial met a fatal one.
it('a quarantine shared by many daemons spares other requests (seed 8810211)', async () => {
  const result = await runSeed(8_810_211);
  expect(findWronglyRefused(result), result.trace.join('\n')).toBeUndefined();
});
