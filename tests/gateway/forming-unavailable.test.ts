import { describe, expect, it } from 'vitest';

import { noteResult, planGroups } from '../../src/core/gateway/forming/plan';
import { createFormingState } from '../../src/core/gateway/forming/state';
import type { FormingState, FormingView } from '../../src/core/gateway/forming/state';
import type { OrderResult } from '../../src/core/gateway/orders';
import type { BackendServer } from '../../src/core/gateway/types';
import { at, ENGINE, makeServer, SMALL } from './support';

/** Warm spares of the small model, in id order. */
const SERVERS = ['s1', 's2', 's3', 's4', 's5'].map((id) => makeServer(id, { model: SMALL }));
/** One step of the planner, milliseconds. */
const STEP_MS = 100;
const STEPS = 20;

/** Three servers, of which `s1` must load the weights first. */
const ONE_COLD = SERVERS.slice(0, 3).map((server) =>
  server.name === 's1' ? makeServer('s1') : server,
);

function viewOf(servers: readonly BackendServer[], hasTraffic: boolean): FormingView {
  return {
    servers: new Map(servers.map((server) => [server.id, server])),
    lapsed: new Map(),
    ended: new Map(),
    engine: ENGINE,
    fencing: 1,
    hasTraffic,
  };
}

/** Plans for two seconds while `s1` answers every join with `result`, and counts those joins. */
function countJoins(
  result: OrderResult,
  servers: readonly BackendServer[] = SERVERS,
): { readonly joins: number; readonly state: FormingState } {
  let state = createFormingState();
  let joins = 0;
  for (let step = 0; step < STEPS; step++) {
    const plan = planGroups(
      state,
      viewOf(servers, servers === SERVERS),
      at(10_000 + step * STEP_MS),
    );
    state = plan.state;
    for (const { key, server, order } of plan.orders) {
      const isUnavailable = server.name === 's1';
      if (isUnavailable && order.kind === 'join') joins += 1;
      state = noteResult(state, key, isUnavailable ? result : 'done');
    }
  }
  return { joins, state };
}

describe('a listed server that takes no join', () => {
  // Guards against forming a group with the same lost server over and over: after the loss of a zone,
  // entries of ended processes stay listed for seconds, and each failed attempt costs all its members.
  it.each([
    ['because another process answers at its address', 'other-server'],
    ['because it cannot be reached', 'not-sent'],
  ] as const)('%s is left out of the next groups', (_reason, result) => {
    expect(countJoins(result).joins).toBe(1);
  });

  it('takes no part of the permitted weight loads', () => {
    const { joins, state } = countJoins('other-server', ONE_COLD);
    expect(joins).toBeGreaterThan(0);
    expect(state.loads.filter(({ server }) => server === 's1')).toEqual([]);
  });
});
