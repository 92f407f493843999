/**
 * Sums of the running and waiting requests of all daemons. In a small fleet daemons exchange loads
 * directly. In a large one each sends its load to the leader, which publishes the sum: the number
 * of messages then grows linearly with the daemons, not quadratically.
 */

import type { InstanceId } from '../../core/ids';
import type { Arrivals } from './arrivals';
import type { LoadsMessage, PeerState } from './messages';
import type { WaitQueue } from './wait-queue';

export type LoadSums = Pick<LoadsMessage, 'running' | 'paces' | 'waiting'>;

/** Below this factor a group counts as running at its normal speed. */
const SLOW_THRESHOLD = 1.2;
const SLOWDOWN_DIGITS = 1;

/**
 * Mean slowdown of each slow group. In a large fleet a daemon has a stream in a given group only
 * now and then; all daemons together detect within a second that a group has become slow.
 */
function meanSlowdowns(states: readonly Pick<PeerState, 'paces'>[]): LoadSums['paces'] {
  const seen = new Map<InstanceId, readonly [count: number, sum: number]>();
  for (const [head, slowdown] of states.flatMap(({ paces }) => paces)) {
    const [count, sum] = seen.get(head) ?? [0, 0];
    seen.set(head, [count + 1, sum + slowdown]);
  }
  return [...seen].flatMap(([head, [count, sum]]) => {
    const mean = Number((sum / count).toFixed(SLOWDOWN_DIGITS));
    return mean < SLOW_THRESHOLD ? [] : [[head, mean] as [InstanceId, number]];
  });
}

/** Key of a model's priority class; a daemon that names no priority has only class 0. */
function classKey(model: string, priority = 0): string {
  return `${priority} ${model}`;
}

function optionalPriority(priority: number): [] | [number] {
  return priority === 0 ? [] : [priority];
}

/** The load that a daemon reports to its peers, by model and priority. */
export function toReport(
  waitQueue: Pick<WaitQueue, 'waiting' | 'count'>,
  arrivals: Pick<Arrivals, 'rates' | 'rate'>,
): PeerState['waiting'] {
  const classes = new Map(
    [...waitQueue.waiting(), ...arrivals.rates()].map(
      ([model, , priority]) => [classKey(model, priority), { model, priority }] as const,
    ),
  );
  return [...classes.values()].map(({ model, priority }) => [
    model,
    waitQueue.count(model, priority),
    arrivals.rate(model, priority),
    ...optionalPriority(priority),
  ]);
}

/** One daemon's load by model. */
export function withoutPriorities(loads: PeerState['waiting']): PeerState['waiting'] {
  const sums = new Map<string, PeerState['waiting'][number]>();
  for (const [model, count, perSecond] of loads) {
    const [, counts, rate] = sums.get(model) ?? [model, 0, 0];
    sums.set(model, [model, counts + count, rate + perSecond]);
  }
  return [...sums.values()];
}

/** Sums the states of several daemons. */
export function sumLoads(
  states: readonly Pick<PeerState, 'running' | 'paces' | 'waiting'>[],
): LoadSums {
  const running = new Map<InstanceId, readonly [number, number]>();
  const waiting = new Map<string, LoadSums['waiting'][number]>();
  for (const state of states) {
    for (const [head, count, tokens] of state.running) {
      const [counts, sum] = running.get(head) ?? [0, 0];
      running.set(head, [counts + count, sum + tokens]);
    }
    for (const [model, count, perSecond, priority = 0] of state.waiting) {
      const key = classKey(model, priority);
      const [, daemons, sum, rate] = waiting.get(key) ?? [model, 0, 0, 0];
      const sums = [daemons + Math.sign(count), sum + count, rate + perSecond] as const;
      waiting.set(key, [model, ...sums, ...optionalPriority(priority)]);
    }
  }
  return {
    running: [...running].map(([head, [count, tokens]]) => [head, count, tokens]),
    paces: meanSlowdowns(states),
    waiting: [...waiting.values()],
  };
}

/**
 * Subtracts one daemon's own part from a sum, exactly if that part is the state that was summed.
 */
export function withoutOwn(sums: LoadSums, own: Pick<PeerState, 'running' | 'waiting'>): LoadSums {
  const ownRunning = new Map(own.running.map(([head, ...rest]) => [head, rest] as const));
  const ownWaiting = new Map(
    own.waiting.map((entry) => [classKey(entry[0], entry[3]), entry] as const),
  );
  return {
    paces: sums.paces,
    running: sums.running.map(([head, count, tokens]) => {
      const [ownCount, ownTokens] = ownRunning.get(head) ?? [0, 0];
      return [head, Math.max(0, count - ownCount), Math.max(0, tokens - ownTokens)];
    }),
    waiting: sums.waiting.map(([model, daemons, count, perSecond, priority = 0]) => {
      const [, ownCount, ownRate] = ownWaiting.get(classKey(model, priority)) ?? [model, 0, 0];
      return [
        model,
        Math.max(0, daemons - Math.sign(ownCount)),
        Math.max(0, count - ownCount),
        Math.max(0, perSecond - ownRate),
        ...optionalPriority(priority),
      ];
    }),
  };
}
