import { beforeEach, describe, expect, it } from 'vitest';

import { entryBytes } from '../src/core/membership/entries';
import { MEMBERSHIP_DEFAULTS } from '../src/core/membership/types';
import { createWorld, publish, run, setCut } from './fuzz/membership-world';
import type { MembershipWorld } from './fuzz/membership-world';

const TICKS_PER_SECOND = 5;

let world: MembershipWorld;

beforeEach(() => {
  world = createWorld(1);
  run(world, 50, 0);
});

function valuesAt(index: number): readonly number[] {
  const entries = [...(world.nodes[index]?.state?.entries.values() ?? [])];
  return entries
    .filter(({ topic }) => topic === 'topic')
    .map(({ value }) => value as number)
    .sort((a, b) => a - b);
}

/** By id: bytes of entries that each node sends from now on. */
function countBytes(): Map<string, number> {
  const sent = new Map<string, number>();
  world.onSend = (from, message) => {
    if (message.kind !== 'entries') return;
    const bytes = message.entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
    sent.set(from, (sent.get(from) ?? 0) + bytes);
  };
  return sent;
}

describe('gossip', () => {
  it('reaches all daemons within two ticks', () => {
    publish(world, 0);
    run(world, 2, 0);
    for (const node of [1, 2, 3, 4]) expect(valuesAt(node)).toEqual([1]);
  });

  it('reaches a daemon that received no rumour', () => {
    setCut(world, 4, true);
    publish(world, 0);
    run(world, 5, 0);
    setCut(world, 4, false);
    run(world, 30 * TICKS_PER_SECOND, 0);
    expect(valuesAt(4)).toEqual([1]);
  });

  it('stops when all daemons have an entry: an idle system sends none', () => {
    publish(world, 0);
    run(world, 10 * TICKS_PER_SECOND, 0);
    const sent = countBytes();
    run(world, 20 * TICKS_PER_SECOND, 0);
    expect([...sent]).toEqual([]);
  });

  it('removes an entry at its expiry', () => {
    publish(world, 0, 3000);
    run(world, 2, 0);
    expect(valuesAt(1)).toEqual([1]);
    run(world, 4 * TICKS_PER_SECOND, 0);
    for (const node of [0, 1, 2, 3, 4]) expect(valuesAt(node)).toEqual([]);
  });

  it('sends no more bytes than the limit allows, whatever is published', () => {
    const { bytesPerSecond, burstBytes, syncBytesPerSecond, syncBurstBytes } = MEMBERSHIP_DEFAULTS;
    const perSecond = bytesPerSecond + syncBytesPerSecond;
    const atOnce = burstBytes + syncBurstBytes;
    const seconds = 60;
    const sent = countBytes();
    for (let tick = 0; tick < seconds * TICKS_PER_SECOND; tick += 1) {
      for (let i = 0; i < 100; i += 1) publish(world, 0);
      run(world, 1, 0);
    }
    const total = sent.get('daemon-0') ?? 0;
    expect(total).toBeGreaterThan(bytesPerSecond * seconds * 0.8);
    expect(total).toBeLessThan(atOnce + perSecond * seconds + 1000);
    run(world, 30 * TICKS_PER_SECOND, 0);
    for (const node of [1, 2, 3, 4]) expect(valuesAt(node)).toEqual(valuesAt(0));
  });
});
