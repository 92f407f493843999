import { describe, expect, it } from 'vitest';

import type { ObservedState } from '../../src/adapters/upstream/forward-client';
import type { ListeningState } from '../../src/adapters/upstream/listening';
import { createServerLinkWatch } from '../../src/app/gateway/server-links';
import type { ServerLinkWatch } from '../../src/app/gateway/server-links';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, ZoneId } from '../../src/core/ids';
import { makeContext, SERVICE } from './support';

const SERVERS = Array.from({ length: 8 }, (_, n) => `s${n}:1`);
const [SERVER = ''] = SERVERS;

interface Fakes {
  /** What each peer answers, in the order in which they are asked. */
  readonly answers?: readonly ObservedState[];
  /** Servers that this daemon does not reach. */
  readonly lost?: readonly string[];
  /** Bytes arrive from some server all the time. */
  readonly isReceiving?: boolean;
}

interface World {
  readonly links: ServerLinkWatch;
  /** Number of questions to peers. */
  readonly asked: () => number;
  /** Number of connections that were opened to check servers. */
  readonly checked: () => number;
}

function setUp({ answers = [], lost = [SERVER], isReceiving = false }: Fakes = {}): World {
  let asked = 0;
  let checked = 0;
  let receivedBytes = 0;
  const stateOf = (address: string): ListeningState =>
    lost.includes(address) ? 'refused' : 'listening';
  const settings = { id: brandAs<DaemonId>('self'), zone: brandAs<ZoneId>('a') };
  const links = createServerLinkWatch(makeContext({ settings }), {
    servers: {
      serviceOf: () => SERVICE,
      count: () => SERVERS.length,
      sample: (count) => SERVERS.slice(0, count).map((address) => ({ address, service: SERVICE })),
    },
    peers: () =>
      answers.map((_, n) => ({
        ...{ id: brandAs<DaemonId>(`p${n}`), zone: brandAs<ZoneId>(`z${n}`) },
        ...{ forwardAddress: `p${n}:2`, cutOff: new Set(), isStopping: false },
      })),
    activity: () => ({ inFlight: 1, receivedBytes: isReceiving ? (receivedBytes += 1) : 0 }),
    checkListening: (address) => {
      checked += 1;
      return Promise.resolve(stateOf(address));
    },
    askPeer: () => {
      asked += 1;
      return Promise.resolve(answers[asked - 1] ?? 'unknown');
    },
  });
  return { links, asked: () => asked, checked: () => checked };
}

function times(count: number, state: ObservedState): readonly ObservedState[] {
  return Array.from({ length: count }, () => state);
}

describe('the state of a server whose connection broke', () => {
  // Guards against striking a request because the link of a single peer has failed as well.
  it('is open if one peer is refused and the others cannot tell', async () => {
    const { links } = setUp({ answers: ['refused', ...times(11, 'unknown')] });
    expect(await links.findState(SERVER, 100)).toBe('unknown');
  });

  // Guards against a cut that concerns many daemons in part: six of them may all be cut off from a server.
  it('is asked of further peers if some cannot tell', async () => {
    const answers = [...times(5, 'refused'), 'unknown', 'refused', 'listening'] as const;
    const { links } = setUp({ answers: [...answers, ...times(4, 'refused')] });
    expect(await links.findState(SERVER, 100)).toBe('listening');
  });

  // Guards against missing the end of a server because of one lost message.
  it('is refused if several peers are refused and none reaches it', async () => {
    const { links } = setUp({ answers: [...times(5, 'refused'), 'unknown'] });
    expect(await links.findState(SERVER, 100)).toBe('refused');
  });

  // Guards against more than six questions for each server that ends while all links are sound.
  it('is asked of six peers where all agree', async () => {
    const { links, asked } = setUp({ answers: times(12, 'refused') });
    expect(await links.findState(SERVER, 100)).toBe('refused');
    expect(asked()).toBe(6);
  });

  // Guards against striking a request for the pause of a server, or of its host.
  it('is unreachable, not refused, if most peers get no answer from it', async () => {
    const { links } = setUp({ answers: ['refused', ...times(5, 'unreachable')] });
    expect(await links.findState(SERVER, 100)).toBe('unreachable');
  });

  // Guards against leaving requests without a strike in a fleet of one daemon.
  it('is what this daemon finds itself if it has no peers and reaches the others', async () => {
    expect(await setUp().links.findState(SERVER, 100)).toBe('refused');
  });
});

describe('the answer to a peer about a server that is not reached', () => {
  // Guards against a link that has failed to many servers being taken for sound as some are reached.
  it('is open if most other servers are not reached either', async () => {
    const { links } = setUp({ lost: SERVERS.slice(0, 3) });
    expect(await links.answerPeer(SERVER)).toBe('unknown');
  });

  // Guards against the same, as bytes of a single server say nothing of the links to others.
  it('is open in that case also while some server sends', async () => {
    const { links } = setUp({ lost: SERVERS.slice(0, 3), isReceiving: true });
    expect(await links.answerPeer(SERVER)).toBe('unknown');
  });

  // Guards against relying on a daemon that is known to reach some servers through peers only.
  it('is open if another server of the service is reached through peers only', async () => {
    const lost = [SERVER, 's7:1'];
    const { links } = setUp({ lost, answers: ['listening'] });
    await links.verify('s7:1');
    expect(links.isBlocked('s7:1')).toBe(true);
    expect(await links.answerPeer(SERVER)).toBe('unknown');
  });

  // Guards against an end that no daemon vouches for because a second server is down at the same time.
  it('is that it is refused if one other server is down', async () => {
    const { links } = setUp({ lost: SERVERS.slice(0, 2) });
    expect(await links.answerPeer(SERVER)).toBe('refused');
  });
});

describe('a daemon that many peers ask about a server', () => {
  // Guards against thousands of connections in a large fleet for the end of one server.
  it('checks its own links twice at most for all that ask at the same time', async () => {
    const { links, checked } = setUp();
    const states = await Promise.all(Array.from({ length: 20 }, () => links.answerPeer(SERVER)));
    expect(new Set(states)).toEqual(new Set(['refused']));
    expect(checked()).toBeLessThanOrEqual(20 + 2 * 3);
  });

  // Guards against a server that is taken for ended by daemons whose links failed just after they were checked.
  it('cannot tell once its links have failed, however recently they were sound', async () => {
    const lost = [SERVER];
    const { links } = setUp({ lost });
    expect(await links.answerPeer(SERVER)).toBe('refused');
    lost.push(...SERVERS);
    expect(await links.answerPeer(SERVERS[4] ?? '')).toBe('unknown');
  });
});
