/**
 * Sums of the running and waiting requests of all daemons. In a small fleet daemons exchange loads
 * directly. In a large one each sends its load to the leader, which publishes the sum: the number
 * of messages then grows linearly with the daemons, not quadratically.
 */

import type { InstanceId } from '../../core/ids';
import type { LoadsMessage, PeerState } from './messages';

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

/** Sums the states of several daemons. */
export function sumLoads(
  states: readonly Pick<PeerState, 'running' | 'paces' | 'waiting'>[],
): LoadSums {
  const running = new Map<InstanceId, readonly [number, number]>();
  const waiting = new Map<string, readonly [number, number, number]>();
  for (const state of states) {
    for (const [head, count, tokens] of state.running) {
      const [counts, sum] = running.get(head) ?? [0, 0];
      running.set(head, [counts + count, sum + tokens]);
    }
    for (const [model, count, perSecond] of state.waiting) {
      const [daemons, sum, rate] = waiting.get(model) ?? [0, 0, 0];
      waiting.set(model, [daemons + Math.sign(count), sum + count, rate + perSecond]);
    }
  }
  return {
    running: [...running].map(([head, [count, tokens]]) => [head, count, tokens]),
    paces: meanSlowdowns(states),
    waiting: [...waiting].map(([model, sums]) => [model, ...sums]),
  };
}

/**
 * Subtracts one daemon's own part from a sum, exactly if that part is the state that was summed.
 */
export function withoutOwn(sums: LoadSums, own: Pick<PeerState, 'running' | 'waiting'>): LoadSums {
  const ownRunning = new Map(own.running.map(([head, ...rest]) => [head, rest] as const));
  const ownWaiting = new Map(own.waiting.map(([model, ...rest]) => [model, rest] as const));
  return {
    paces: sums.paces,
    running: sums.running.map(([head, count, tokens]) => {
      const [ownCount, ownTokens] = ownRunning.get(head) ?? [0, 0];
      return [head, Math.max(0, count - ownCount), Math.max(0, tokens - ownTokens)];
    }),
    waiting: sums.waiting.map(([model, daemons, count, perSecond]) => {
      const [ownCount, ownRate] = ownWaiting.get(model) ?? [0, 0];
      return [
        model,
        Math.max(0, daemons - Math.sign(ownCount)),
        Math.max(0, count - ownCount),
        Math.max(0, perSecond - ownRate),
      ];
    }),
  };
}
