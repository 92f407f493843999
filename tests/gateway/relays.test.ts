import { describe, expect, it } from 'vitest';

import { mergeUpdates } from '../../src/core/gateway/collection-updates';
import { planFanOut, RELAY_DEFAULTS } from '../../src/core/gateway/relays';
import type { FanOut, RelayPeer } from '../../src/core/gateway/relays';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, ZoneId } from '../../src/core/ids';
import { at, position } from './support';

const NOW = at(10_000);
const ZONES = 5;

/** Three strong daemons in each zone, the others weak. */
function makePeers(count: number, more: (n: number) => Partial<RelayPeer> = () => ({})) {
  return Array.from({ length: count }, (_, n): RelayPeer => ({
    id: brandAs<DaemonId>(`d${n}`),
    address: `a${n}`,
    zone: brandAs<ZoneId>(`z${n % ZONES}`),
    cores: n < 3 * ZONES ? 1.35 : 0.324,
    isStopping: false,
    hearsLeader: true,
    at: NOW,
    ...more(n),
  }));
}

function reached(fanOut: FanOut): string[] {
  return [...fanOut].flatMap(([address, to]) => [address, ...to]);
}

describe('a message to a fleet', () => {
  it.each([14, 70, 194, 669])('of %i reaches each daemon once', (count) => {
    const all = reached(planFanOut(makePeers(count), NOW));
    expect(all.toSorted()).toEqual(
      makePeers(count)
        .map(({ address }) => address)
        .toSorted(),
    );
  });

  it.each([70, 194, 669])('of %i takes no daemon more than twice the root of it', (count) => {
    const fanOut = planFanOut(makePeers(count), NOW);
    const most = 2 * Math.sqrt(count);
    expect(fanOut.size).toBeLessThanOrEqual(most);
    for (const to of fanOut.values()) expect(to.length).toBeLessThanOrEqual(most);
  });

  it('is passed on by the strongest daemons, each inside its own zone', () => {
    const peers = makePeers(194);
    const zoneOf = new Map(peers.map(({ address, zone }) => [address, zone]));
    for (const [relay, to] of planFanOut(peers, NOW)) {
      expect(peers.find(({ address }) => address === relay)?.cores).toBe(1.35);
      expect(new Set(to.map((address) => zoneOf.get(address)))).toEqual(
        new Set([zoneOf.get(relay)]),
      );
    }
  });

  it.each([
    { who: 'was silent for a moment', more: { at: at(NOW - RELAY_DEFAULTS.relayFreshMs) } },
    { who: 'stops', more: { isStopping: true } },
  ])('is not left to a relay that $who', ({ more }) => {
    const fanOut = planFanOut(
      makePeers(194, (n) => (n < 3 * ZONES ? more : {})),
      NOW,
    );
    for (let n = 0; n < 3 * ZONES; n++) expect(fanOut.get(`a${n}`) ?? []).toEqual([]);
    expect(reached(fanOut)).toHaveLength(194);
  });

  it.each([
    { who: 'was not heard of lately', more: { at: at(NOW - RELAY_DEFAULTS.peerFreshMs) } },
    { who: 'does not hear the leader', more: { hearsLeader: false } },
  ])('goes directly to a daemon that $who', ({ more }) => {
    const fanOut = planFanOut(
      makePeers(194, (n) => (n === 100 ? more : {})),
      NOW,
    );
    expect(fanOut.get('a100')).toEqual([]);
  });

  it('goes directly to all where nobody can be a relay', () => {
    const fanOut = planFanOut(
      makePeers(40, () => ({ isStopping: true })),
      NOW,
    );
    expect([...fanOut.values()].every((to) => to.length === 0)).toBe(true);
    expect(fanOut.size).toBe(40);
  });
});

describe('news that go together', () => {
  const first = {
    since: position(1),
    upTo: position(4),
    changes: [{ key: 's1', value: 1 }, { key: 's2' }],
  };

  it('tell the last state of each server', () => {
    const second = {
      since: position(4),
      upTo: position(6),
      changes: [{ key: 's1' }, { key: 's3', value: 3 }],
    };
    expect(mergeUpdates(first, second)).toEqual({
      since: position(1),
      upTo: position(6),
      changes: [{ key: 's1' }, { key: 's2' }, { key: 's3', value: 3 }],
    });
  });

  it('do not hide that something between them is unknown', () => {
    const second = { since: position(5), upTo: position(6), changes: [{ key: 's3', value: 3 }] };
    expect(mergeUpdates(first, second)).toEqual(second);
  });
});
