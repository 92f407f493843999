import { describe, expect, it } from 'vitest';

import { createPeerReach } from '../../src/app/gateway/peer-reach';
import type { PeerView } from '../../src/app/gateway/peer-view';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, ServiceId } from '../../src/core/ids';
import { at, makeState, SERVICE } from './support';

const daemon = (name: string): DaemonId => brandAs<DaemonId>(name);
const SELF = daemon('self');

function view(name: string, cutOff: ServiceId[] = []): PeerView {
  return { ...makeState({ cutOff }), id: daemon(name), address: `${name}:1`, at: at(0) };
}

function reachOf(live: readonly PeerView[], reported: readonly string[]) {
  const names = ['self', 'd1', 'd2', 'd3'];
  return createPeerReach({
    self: SELF,
    entries: new Map(names.map((name) => [daemon(name), { address: `${name}:1`, cores: 1 }])),
    live: () => live,
    leader: () => ({ cutOff: reported.map((name) => [daemon(name), [SERVICE]] as const) }),
    silent: () => [daemon('d3')],
  });
}

describe('the reach of peers', () => {
  it('leaves out this daemon and those that do not respond', () => {
    const ids = reachOf([], [])
      .forwardPeers()
      .map(({ id }) => id);
    expect(ids).toEqual([daemon('d1'), daemon('d2')]);
  });

  it('is what the leader reports of a peer, or the peer itself', () => {
    const reach = reachOf([view('d2', [SERVICE])], ['d1']);
    expect([...reach.cutOff(daemon('d1'))]).toEqual([SERVICE]);
    expect([...reach.cutOff(daemon('d2'))]).toEqual([SERVICE]);
  });

  // Guards against leaving a peer out for a cut that has ended long ago.
  it('does not rest on a state that is no longer fresh', () => {
    const reach = reachOf([], []);
    expect([...reach.cutOff(daemon('d2'))]).toEqual([]);
    expect(reach.forwardPeers().every(({ cutOff }) => cutOff.size === 0)).toBe(true);
  });
});
