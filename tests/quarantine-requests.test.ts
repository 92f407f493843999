/** A request that crashes engines, submitted repeatedly. */

import { afterEach, expect, it } from 'vitest';

import type { GroupId } from '../src/core/ids';
import { errorOf, sendChat } from './support/requests-client';
import { answerNormally, createEngine } from './support/requests-engine';
import type { Script } from './support/requests-engine';
import { createFixture, fakeGossip, fakeGroups, testGroup } from './support/requests-fixture';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

it('a crashing request takes down at most two groups, then every daemon refuses it and serves others', async () => {
  const groups = fakeGroups();
  const crashed: string[] = [];
  const crashOn =
    (id: string): Script =>
    (call) => {
      if (!JSON.stringify(call.body).includes('crash-me')) return answerNormally(call);
      crashed.push(id);
      groups.groups = groups.groups.filter((group) => group.id !== id);
      call.res.destroy();
      groups.lost.next({ group: id as GroupId, isDomainDown: false });
      return undefined;
    };
  const ids = ['d1-a', 'd2-a', 'd3-a', 'd4-a'];
  const engines = await Promise.all(ids.map((id) => createEngine(crashOn(id))));
  groups.groups = ids.map((id, i) =>
    testGroup(id, engines[i]?.address ?? '', { domain: id.slice(0, 2) as never }),
  );
  const gossip = fakeGossip();
  const one = await createFixture({ groups, gossip });
  cleanups.push(one.close, ...engines.map((engine) => engine.close));

  const messages = [{ role: 'user', content: 'crash-me' }];
  const first = await sendChat(one.url, { messages });
  expect(errorOf(first)).toMatchObject({ code: 'quarantined', outcome: 'unknown' });
  expect(crashed).toHaveLength(2);

  const again = await sendChat(one.url, { messages });
  expect(again.status).toBe(422);
  expect(errorOf(again)).toMatchObject({ code: 'quarantined', outcome: 'not-run' });

  // A daemon that starts later receives the strikes by gossip.
  const other = await createFixture({ groups, gossip });
  cleanups.push(other.close);
  expect(errorOf(await sendChat(other.url, { messages }))).toMatchObject({ outcome: 'not-run' });
  expect(crashed).toHaveLength(2);
  expect((await sendChat(other.url)).status).toBe(200);
});
