import { describe, expect, it } from 'vitest';

import { mergeUpdates } from '../../src/core/gateway/collection-updates';
import { planFanOut, RELAY_DEFAULTS } from '../../src/core/gateway/relays';
import type { FanOut, RelayPeer } from '../../src/core/gateway/relays';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, ZoneId } from '../../src/core/ids';
import { at, position } from './support';

const NOW = at(10_000);
const ZONES = 5;

/** Three daemons with many cores in each zone, the others with few. */
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

function recipients(fanOut: FanOut): string[] {
  return [...fanOut].flatMap(([address, to]) => [address, ...to]);
}

describe('a message to a fleet', () => {
  it.each([14, 70, 194, 669])('to %i daemons reaches each once', (count) => {
    const all = recipients(planFanOut(makePeers(count), NOW));
    expect(all.toSorted()).toEqual(
      makePeers(count)
        .map(({ address }) => address)
        .toSorted(),
    );
  });

  it.each([70, 194, 669])(
    'to %i daemons costs none more than twice the square root of that in sends',
    (count) => {
      const fanOut = planFanOut(makePeers(count), NOW);
      const most = 2 * Math.sqrt(count);
      expect(fanOut.size).toBeLessThanOrEqual(most);
      for (const to of fanOut.values()) expect(to.length).toBeLessThanOrEqual(most);
    },
  );

  it('is relayed by the daemons with the most cores, each within its own zone', () => {
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
    {
      who: 'was not heard from very recently',
      more: { at: at(NOW - RELAY_DEFAULTS.relayFreshMs) },
    },
    { who: 'is stopping', more: { isStopping: true } },
  ])('is not sent through a relay that $who', ({ more }) => {
    const fanOut = planFanOut(
      makePeers(194, (n) => (n < 3 * ZONES ? more : {})),
      NOW,
    );
    for (let n = 0; n < 3 * ZONES; n++) expect(fanOut.get(`a${n}`) ?? []).toEqual([]);
    expect(recipients(fanOut)).toHaveLength(194);
  });

  it.each([
    { who: 'was not heard from recently', more: { at: at(NOW - RELAY_DEFAULTS.peerFreshMs) } },
    { who: "does not receive the leader's messages", more: { hearsLeader: false } },
  ])('is sent directly to a daemon that $who', ({ more }) => {
    const fanOut = planFanOut(
      makePeers(194, (n) => (n === 100 ? more : {})),
      NOW,
    );
    expect(fanOut.get('a100')).toEqual([]);
  });

  it('is sent directly to all if there is no eligible relay', () => {
    const fanOut = planFanOut(
      makePeers(40, () => ({ isStopping: true })),
      NOW,
    );
    expect([...fanOut.values()].every((to) => to.length === 0)).toBe(true);
    expect(fanOut.size).toBe(40);
  });
});

describe('merged updates', () => {
  const first = {
    since: position(1),
    upTo: position(4),
    changes: [{ key: 's1', value: 1 }, { key: 's2' }],
  };

  it('hold the last state of each server', () => {
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

  it('drop the earlier update if there is a gap between them', () => {
    const second = { since: position(5), upTo: position(6), changes: [{ key: 's3', value: 3 }] };
    expect(mergeUpdates(first, second)).toEqual(second);
  });
});
