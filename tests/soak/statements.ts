/** Rounds in which servers say something of themselves, and what of it daemons did not hold to. */

import { HEADERS } from '../../platform/names';
import type { Arrival } from '../../stand-ins/users-platform/statements';
import type { Random } from '../../src/ports/runtime';
import type { DomainId, InstanceId, ServerName } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { COMMON_SETTINGS } from '../support/gateway-daemon';
import { allowedBy, MOST_IN_REST, mostInRest, mostInSpan } from '../support/server-rules';
import type { Call } from './callers';
import type { World } from './world';

/** Daemons and their links are calm in a round, so that the rules excuse none. */
const ROUND_MS = 9_000;
const SPEAKERS = 3;
const SPOILED: readonly string[] = ['', '-1', 'NaN', '1e400', '2, x', 'soon', '1 1'];

type Kind = 'limit' | 'rest' | 'leaving' | 'spoiled';
const KINDS: readonly Kind[] = ['limit', 'rest', 'leaving', 'spoiled'];

interface Speaker {
  readonly kind: Kind;
  readonly name: ServerName;
  readonly from: number;
  readonly limitPerS: number;
  readonly restS: number;
  /** Of the head of a group. */
  readonly head?: { readonly id: InstanceId; readonly domain: DomainId };
}

interface Candidate {
  readonly name: ServerName;
  readonly head?: Speaker['head'];
}

function listCandidates({ platform }: World): Candidate[] {
  const heads = [...platform.fleet.servers.values()].flatMap(({ id, name, domain, joined }) =>
    joined?.state === 'open' && joined.members[0] === id ? [{ name, head: { id, domain } }] : [],
  );
  return [...platform.plainServers.map((name) => ({ name })), ...heads];
}

function drawSpeakers(world: World, random: Random): Speaker[] {
  const candidates = listCandidates(world);
  return Array.from({ length: SPEAKERS }, () => {
    const drawn = candidates.splice(Math.floor(random.next() * candidates.length), 1);
    return drawn.map(({ name, head }) => {
      const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'limit';
      return {
        // A plain server stays in this stand-in: what it said of leaving would hold for good.
        kind: kind === 'leaving' && !head ? 'rest' : kind,
        name,
        from: performance.now(),
        limitPerS: Number((0.5 + random.next() * 4).toFixed(1)),
        restS: Number((1 + random.next() * 3).toFixed(2)),
        ...(head && { head }),
      };
    });
  }).flat();
}

const SAYS: Readonly<Record<Kind, (speaker: Speaker, random: Random) => Record<string, string>>> = {
  limit: ({ limitPerS }) => ({ [HEADERS.limit]: String(limitPerS) }),
  rest: ({ restS }) => ({ 'Retry-After': String(restS) }),
  leaving: () => ({ [HEADERS.leaving]: '1' }),
  spoiled: (_, random) => {
    const text = SPOILED[Math.floor(random.next() * SPOILED.length)] ?? '';
    return { [HEADERS.limit]: text, [HEADERS.leaving]: text === '1 1' ? 'x' : text };
  },
};

function timesByDaemon(
  arrivals: readonly Arrival[],
  daemonOf: ReadonlyMap<string, string>,
): ReadonlyMap<string, number[]> {
  const found = new Map<string, number[]>();
  for (const { requestId, at } of arrivals) {
    const daemon = daemonOf.get(requestId);
    if (daemon !== undefined) found.set(daemon, [...(found.get(daemon) ?? []), at]);
  }
  return found;
}

type Judge = (
  speaker: Speaker,
  arrivals: readonly Arrival[],
  daemonOf: ReadonlyMap<string, string>,
) => string[];

const JUDGES: Readonly<Record<Kind, Judge>> = {
  limit: ({ name, from, limitPerS }, arrivals) => {
    const settled = arrivals
      .map(({ at }) => at)
      .filter((at) => at >= from + COMMON_SETTINGS.settleMs);
    const most = mostInSpan(settled);
    return most > allowedBy(limitPerS)
      ? [`${name} with a limit of ${limitPerS} got ${most} in 4 s`]
      : [];
  },
  rest: ({ name, restS }, arrivals, daemonOf) =>
    [...timesByDaemon(arrivals, daemonOf)].flatMap(([daemon, times]) => {
      const most = mostInRest(times, restS);
      return most > MOST_IN_REST ? [`${name}, resting ${restS} s, got ${most} from ${daemon}`] : [];
    }),
  leaving: ({ name }, arrivals, daemonOf) =>
    [...timesByDaemon(arrivals, daemonOf)].flatMap(([daemon, times]) => {
      const late = times.filter((t) => t > Math.min(...times) + COMMON_SETTINGS.leavingMs).length;
      return late > 0 ? [`${name} left and got ${late} from ${daemon} later`] : [];
    }),
  spoiled: () => [],
};

/** What the daemons owe a server by what it says; `calls` are those of the whole soak. */
export async function runStatementRound(
  world: World,
  random: Random,
  calls: readonly Call[],
): Promise<string[]> {
  const { platform } = world;
  const { statements, fleet } = platform;
  const speakers = drawSpeakers(world, random);
  for (const speaker of speakers) {
    statements.says.set(speaker.name, SAYS[speaker.kind](speaker, random));
    if (speaker.kind === 'rest') statements.shedding.add(speaker.name);
  }
  await pause(ROUND_MS);
  const daemonOf = new Map(calls.map(({ requestId, daemon }) => [requestId, daemon]));
  const faults = speakers.flatMap((speaker) => {
    const { name, from } = speaker;
    const own = statements.arrivals.filter((one) => one.server === name && one.at >= from);
    return JUDGES[speaker.kind](speaker, own, daemonOf);
  });
  for (const { kind, name, head } of speakers) {
    statements.says.delete(name);
    statements.shedding.delete(name);
    if (kind !== 'leaving' || !head) continue;
    fleet.kill(head.id);
    await platform.addEngine(head.domain);
  }
  return faults;
}
