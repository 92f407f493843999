import { BehaviorSubject, Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createBoard } from '../../src/app/gateway/board';
import type { Roster } from '../../src/app/gateway/roster';
import type { RouteTable } from '../../src/core/gateway/routes';
import { brandAs } from '../../src/core/ids';
import type { Epoch, GroupId } from '../../src/core/ids';
import { ENGINE, instance, makeContext, makeServer, SERVICE, SMALL } from './support';

const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

function openGroup() {
  const membership = {
    group: brandAs<GroupId>('group-1'),
    epoch: brandAs<Epoch>(1),
    state: 'open' as const,
  };
  return [0, 1, 2].map((rank) =>
    makeServer(`s${rank}`, { model: SMALL, membership: { ...membership, rank } }),
  );
}

/** A board with the servers of one open group in the roster. */
function setUp() {
  const changes = new Subject<void>();
  const servers = new Map(openGroup().map((server) => [server.id, server]));
  const routes = new BehaviorSubject<RouteTable | undefined>(undefined);
  const board = createBoard(makeContext(), { servers, changes } as unknown as Roster, routes);
  const heads = () => board.candidates(SERVICE, SMALL, 250, new Set()).map(({ head }) => head);
  return { changes, routes, heads };
}

describe('the groups that streams may be sent to', () => {
  it('are known as soon as servers and configuration are, whichever came first', () => {
    const serversFirst = setUp();
    serversFirst.changes.next();
    expect(serversFirst.heads()).toEqual([]);
    serversFirst.routes.next(TABLE);
    expect(serversFirst.heads()).toEqual([instance('s0')]);

    const configFirst = setUp();
    configFirst.routes.next(TABLE);
    configFirst.changes.next();
    expect(configFirst.heads()).toEqual([instance('s0')]);
  });
});
