import { beforeEach, describe, expect, it } from 'vitest';

import { createWorld, kill, leave, pause, resume, run } from './fuzz/membership-world';
import type { MembershipWorld } from './fuzz/membership-world';

const TICKS_PER_SECOND = 5;
const JOIN_TICKS = 50;
/** Seed daemons that all others know from the start. */
const SEEDS = 3;

let world: MembershipWorld;

beforeEach(() => {
  world = createWorld(1);
  run(world, JOIN_TICKS, 0);
});

/** The state of node `index` as node `viewer` knows it. */
function stateSeenBy(viewer: number, index: number): string {
  const state = world.nodes[viewer]?.state;
  const id = world.nodes[index]?.id;
  return (id && state?.members.get(id)?.state) ?? 'unknown';
}

/** The distinct states of node `index` as the others know it. */
function statesSeen(index: number): string[] {
  const viewers = world.nodes.flatMap((node, i) => (i === index || !node.state ? [] : [i]));
  return [...new Set(viewers.map((viewer) => stateSeenBy(viewer, index)))];
}

function allStatesSeen(): string[] {
  return [...new Set(world.nodes.flatMap((_, i) => statesSeen(i)))];
}

describe('daemons that are all started at once', () => {
  it.each([1, 2, 3])('know each other within five seconds (seed %i)', (seed) => {
    const count = 25;
    world = createWorld(seed, count, SEEDS);
    run(world, 5 * TICKS_PER_SECOND, 0);
    expect(world.nodes.map(({ state }) => state?.members.size)).toEqual(
      new Array<number>(count).fill(count),
    );
  });
});

describe('a hundred daemons that are all started at once', () => {
  it('know each other within thirty seconds', () => {
    const count = 100;
    world = createWorld(1, count, SEEDS);
    run(world, 30 * TICKS_PER_SECOND, 0);
    const known = world.nodes.map(({ state }) => state?.members.size ?? 0);
    expect(Math.min(...known)).toBe(count);
  });
});

describe('a daemon that is killed', () => {
  it('is dead to all others within eight seconds', () => {
    kill(world, 0);
    run(world, 8 * TICKS_PER_SECOND, 0);
    expect(statesSeen(0)).toEqual(['dead']);
    expect(statesSeen(1)).toEqual(['alive']);
  });

  it('is suspected before it is declared dead', () => {
    kill(world, 0);
    const seen = new Set<string>();
    for (let tick = 0; tick < 8 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      for (const state of statesSeen(0)) seen.add(state);
    }
    expect([...seen]).toEqual(['alive', 'suspect', 'dead']);
  });
});

describe('a daemon that is paused', () => {
  it('is alive again when it resumes, and does not suspect others because of its own pause', () => {
    pause(world, 0);
    run(world, 20 * TICKS_PER_SECOND, 0);
    expect(statesSeen(0)).toEqual(['dead']);
    resume(world, 0);
    for (let tick = 0; tick < 10 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      for (const other of [1, 2, 3, 4]) expect(stateSeenBy(0, other)).toBe('alive');
    }
    expect(allStatesSeen()).toEqual(['alive']);
  });

  it('does not suspect daemons whose answers arrived while it was paused', () => {
    for (let pauses = 0; pauses < 20; pauses += 1) {
      pause(world, 0);
      run(world, 8, 0);
      resume(world, 0);
      for (let tick = 0; tick < 10; tick += 1) {
        run(world, 1, 0);
        for (const other of [1, 2, 3, 4]) expect(stateSeenBy(0, other)).toBe('alive');
      }
    }
  });
});

describe('a daemon that was paused while it suspected another', () => {
  it('extends the time of the suspect by its pause', () => {
    pause(world, 1);
    while (stateSeenBy(0, 1) !== 'suspect') run(world, 1, 0);
    pause(world, 0);
    resume(world, 1);
    run(world, 20 * TICKS_PER_SECOND, 0);
    const senders: string[] = [];
    world.onSend = (from, message) => {
      if (message.kind !== 'entries') return;
      if (JSON.stringify(message.entries).includes('"dead"')) senders.push(from);
    };
    resume(world, 0);
    run(world, 10 * TICKS_PER_SECOND, 0);
    expect(senders).not.toContain('daemon-0');
    expect(allStatesSeen()).toEqual(['alive']);
  });
});

describe('a partition', () => {
  it('between only two daemons makes no daemon suspect either of them', () => {
    world.blocked.add('daemon-0>daemon-1').add('daemon-1>daemon-0');
    const senders: string[] = [];
    world.onSend = (from, message) => {
      if (message.kind !== 'entries') return;
      if (JSON.stringify(message.entries).includes('"suspect"')) senders.push(from);
    };
    for (let tick = 0; tick < 60 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      expect(allStatesSeen()).toEqual(['alive']);
    }
    expect(senders).toEqual([]);
  });

  it('of one daemon from all others makes it suspect itself before the others', () => {
    for (const other of [1, 2, 3, 4]) {
      world.blocked.add(`daemon-0>daemon-${other}`).add(`daemon-${other}>daemon-0`);
    }
    while (statesSeen(0).includes('alive')) run(world, 1, 0);
    for (const other of [1, 2, 3, 4]) expect(stateSeenBy(0, other)).toBe('alive');
    run(world, 60 * TICKS_PER_SECOND, 0);
    for (const other of [1, 2, 3, 4]) expect(stateSeenBy(0, other)).toBe('dead');
  });
});

describe('a daemon that leaves', () => {
  it('is known as leaving within one tick, and never as suspect', () => {
    leave(world, 0);
    run(world, 1, 0);
    expect(statesSeen(0)).toEqual(['leaving']);
    kill(world, 0);
    for (let tick = 0; tick < 10 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      expect(statesSeen(0)).not.toContain('suspect');
    }
    expect(statesSeen(0)).toEqual(['dead']);
  });
});
