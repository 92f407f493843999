import { beforeEach, describe, expect, it } from 'vitest';

import { createWorld, kill, leave, pause, resume, run } from './fuzz/membership-world';
import type { MembershipWorld } from './fuzz/membership-world';

const TICKS_PER_SECOND = 5;
const JOIN_TICKS = 50;
/** Daemons that all know from the start, where many are started at once. */
const SEEDS = 3;

let world: MembershipWorld;

beforeEach(() => {
  world = createWorld(1);
  run(world, JOIN_TICKS, 0);
});

/** What node `viewer` believes of node `index`. */
function belief(viewer: number, index: number): string {
  const state = world.nodes[viewer]?.state;
  const id = world.nodes[index]?.id;
  return (id && state?.members.get(id)?.state) ?? 'unknown';
}

/** What the others believe of node `index`, each belief once. */
function beliefs(index: number): string[] {
  const viewers = world.nodes.flatMap((node, i) => (i === index || !node.state ? [] : [i]));
  return [...new Set(viewers.map((viewer) => belief(viewer, index)))];
}

function everyBelief(): string[] {
  return [...new Set(world.nodes.flatMap((_, i) => beliefs(i)))];
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
    expect(beliefs(0)).toEqual(['dead']);
    expect(beliefs(1)).toEqual(['alive']);
  });

  it('is suspected before it is given up', () => {
    kill(world, 0);
    const seen = new Set<string>();
    for (let tick = 0; tick < 8 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      for (const state of beliefs(0)) seen.add(state);
    }
    expect([...seen]).toEqual(['alive', 'suspect', 'dead']);
  });
});

describe('a daemon that is paused', () => {
  it('is taken back when it resumes, and holds its own pause against nobody', () => {
    pause(world, 0);
    run(world, 20 * TICKS_PER_SECOND, 0);
    expect(beliefs(0)).toEqual(['dead']);
    resume(world, 0);
    for (let tick = 0; tick < 10 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      for (const other of [1, 2, 3, 4]) expect(belief(0, other)).toBe('alive');
    }
    expect(everyBelief()).toEqual(['alive']);
  });

  it('does not suspect those whose answers came while it was paused', () => {
    for (let pauses = 0; pauses < 20; pauses += 1) {
      pause(world, 0);
      run(world, 8, 0);
      resume(world, 0);
      for (let tick = 0; tick < 10; tick += 1) {
        run(world, 1, 0);
        for (const other of [1, 2, 3, 4]) expect(belief(0, other)).toBe('alive');
      }
    }
  });
});

describe('a daemon that was paused while it suspected another', () => {
  it('gives the other the time that it slept through', () => {
    pause(world, 1);
    while (belief(0, 1) !== 'suspect') run(world, 1, 0);
    pause(world, 0);
    resume(world, 1);
    run(world, 20 * TICKS_PER_SECOND, 0);
    const told: string[] = [];
    world.onSend = (from, message) => {
      if (message.kind !== 'entries') return;
      if (JSON.stringify(message.entries).includes('"dead"')) told.push(from);
    };
    resume(world, 0);
    run(world, 10 * TICKS_PER_SECOND, 0);
    expect(told).not.toContain('daemon-0');
    expect(everyBelief()).toEqual(['alive']);
  });
});

describe('a partition', () => {
  it('between two daemons alone makes nobody suspect either', () => {
    world.blocked.add('daemon-0>daemon-1').add('daemon-1>daemon-0');
    const told: string[] = [];
    world.onSend = (from, message) => {
      if (message.kind !== 'entries') return;
      if (JSON.stringify(message.entries).includes('"suspect"')) told.push(from);
    };
    for (let tick = 0; tick < 60 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      expect(everyBelief()).toEqual(['alive']);
    }
    expect(told).toEqual([]);
  });

  it('of one daemon from all makes it doubt itself before the others', () => {
    for (const other of [1, 2, 3, 4]) {
      world.blocked.add(`daemon-0>daemon-${other}`).add(`daemon-${other}>daemon-0`);
    }
    while (beliefs(0).includes('alive')) run(world, 1, 0);
    for (const other of [1, 2, 3, 4]) expect(belief(0, other)).toBe('alive');
    run(world, 60 * TICKS_PER_SECOND, 0);
    for (const other of [1, 2, 3, 4]) expect(belief(0, other)).toBe('dead');
  });
});

describe('a daemon that leaves', () => {
  it('is known as leaving within one tick, and never as suspect', () => {
    leave(world, 0);
    run(world, 1, 0);
    expect(beliefs(0)).toEqual(['leaving']);
    kill(world, 0);
    for (let tick = 0; tick < 10 * TICKS_PER_SECOND; tick += 1) {
      run(world, 1, 0);
      expect(beliefs(0)).not.toContain('suspect');
    }
    expect(beliefs(0)).toEqual(['dead']);
  });
});
