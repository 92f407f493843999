import { expect, it } from 'vitest';

import { createOwnLinks } from '../../src/app/gateway/own-links';
import { makeContext, SERVICE } from './support';

// Guards against one failed check after which all later ones fail.
it('goes on with checks of the own links after one has failed', async () => {
  let hasFailed = false;
  const server = { address: 's0:1', service: SERVICE };
  const own = createOwnLinks(makeContext(), {
    servers: { sample: () => [server, { ...server, address: 's1:1' }] },
    checkListening: () => {
      if (hasFailed) return Promise.resolve('listening');
      hasFailed = true;
      return Promise.reject(new Error('no check'));
    },
    hasReceivedRecently: () => true,
  });
  const [first, second] = [own.areSound(server), own.areSound(server)];
  await Promise.allSettled([first, second]);
  expect(await Promise.all([own.areSound(server), own.areSound(server)])).toEqual([true, true]);
});
