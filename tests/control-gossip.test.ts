import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createControlGossip } from '../src/app/control/gossip';
import { createContext } from '../src/app/control/setup';
import { createWatches } from '../src/app/control/watches';
import { createWatch, reduceWatch } from '../src/core/groups/watch';
import type { WatchState } from '../src/core/groups/watch';
import type { EpochTime, MonoTime } from '../src/core/ids';
import { createRandom } from '../src/adapters/runtime';

const ROW = {
  id: 'g',
  model: 'm',
  domain: 'd',
  epoch: 1,
  fencing: 1,
  phase: 'serving',
  members: [{ instance: 'x', address: 'x:1' }],
} as never;

interface Published {
  readonly topic: string;
  readonly value: unknown;
}

function createTestGossip() {
  const published: Published[] = [];
  const gossip = {
    publish: (topic: string, _key: string, value: unknown) => {
      published.push({ topic, value });
    },
    received: NEVER,
    entries: () => [],
  };
  const clock = { now: () => 1_000 as MonoTime, epoch: () => 5_000_000 as EpochTime };
  const ctx = createContext({ self: 'a', gossip, clock, random: createRandom(1) } as never);
  const hooks = { leaving: () => undefined, vouched: () => undefined };
  return { news: createControlGossip(ctx, createWatches(ctx), hooks), published };
}

const NOW = { now: 1_000 as MonoTime };

function withPeerStatement(): WatchState {
  const by = { origin: 'p' as never, seq: 1 };
  const statement = { epoch: 1 as never, until: 4_000 as MonoTime, by };
  return reduceWatch(createWatch(ROW, 1), { kind: 'stated', statement }, NOW).state;
}

function withProbeReport(): WatchState {
  const report = { instance: 'x', state: 'serving', group: 'g', epoch: 1, leaving: false };
  const event = { kind: 'reported', report, sentAt: 900, freshUntil: 3_900 };
  return reduceWatch(createWatch(ROW, 1), event as never, NOW).state;
}

describe('statements that groups are complete', () => {
  it('are based only on own probes, never on statements of peers', () => {
    const { news: gossip, published } = createTestGossip();
    gossip.state([withPeerStatement()], 0);
    expect(published).toEqual([]);
  });

  it('are valid no longer than the probes they are based on', () => {
    const { news: gossip, published } = createTestGossip();
    gossip.state([withProbeReport()], 0);
    expect(published).toMatchObject([{ value: { groups: [['g', 1]], forMs: 2_900 } }]);
  });

  it('are numbered above those sent before a restart of the daemon', () => {
    const { news: gossip, published } = createTestGossip();
    gossip.warn('g' as never, 1 as never);
    gossip.warn('g' as never, 1 as never);
    expect(published).toMatchObject([{ value: { seq: 5_000_000 } }, { value: { seq: 5_000_001 } }]);
  });
});
