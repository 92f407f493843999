/** Rounds in which servers send load headers, and checks that daemons obey them. */

import { HEADERS } from '../../platform/names';
import type { Arrival } from '../../stand-ins/users-platform/statements';
import type { Random } from '../../src/ports/runtime';
import type { DomainId, InstanceId, ServerName } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { COMMON_SETTINGS } from '../support/gateway-daemon';
import { allowedBy, MOST_IN_REST, mostInRest, mostInSpan } from '../support/server-rules';
import type { Call } from './callers';
import type { World } from './world';

/** No faults are injected during a round, so the rules apply without exception. */
const ROUND_MS = 9_000;
const SENDERS = 3;
const INVALID_VALUES: readonly string[] = ['', '-1', 'NaN', '1e400', '2, x', 'soon', '1 1'];

type Kind = 'limit' | 'rest' | 'leaving' | 'spoiled';
const KINDS: readonly Kind[] = ['limit', 'rest', 'leaving', 'spoiled'];

interface Sender {
  readonly kind: Kind;
  readonly name: ServerName;
  readonly from: number;
  readonly limitPerS: number;
  readonly restS: number;
  /** Set if the server is the head of a group. */
  readonly head?: { readonly id: InstanceId; readonly domain: DomainId };
}

interface Candidate {
  readonly name: ServerName;
  readonly head?: Sender['head'];
}

function listCandidates({ platform }: World): Candidate[] {
  const heads = [...platform.fleet.servers.values()].flatMap(({ id, name, domain, joined }) =>
    joined?.state === 'open' && joined.members[0] === id ? [{ name, head: { id, domain } }] : [],
  );
  return [...platform.plainServers.map((name) => ({ name })), ...heads];
}

function chooseSenders(world: World, random: Random): Sender[] {
  const candidates = listCandidates(world);
  return Array.from({ length: SENDERS }, () => {
    const chosen = candidates.splice(Math.floor(random.next() * candidates.length), 1);
    return chosen.map(({ name, head }) => {
      const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'limit';
      return {
        // Plain servers are never replaced here, so a leaving one would stay unused permanently.
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

const HEADERS_BY_KIND: Readonly<
  Record<Kind, (sender: Sender, random: Random) => Record<string, string>>
> = {
  limit: ({ limitPerS }) => ({ [HEADERS.limit]: String(limitPerS) }),
  rest: ({ restS }) => ({ 'Retry-After': String(restS) }),
  leaving: () => ({ [HEADERS.leaving]: '1' }),
  spoiled: (_, random) => {
    const text = INVALID_VALUES[Math.floor(random.next() * INVALID_VALUES.length)] ?? '';
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

type Check = (
  sender: Sender,
  arrivals: readonly Arrival[],
  daemonOf: ReadonlyMap<string, string>,
) => string[];

const CHECKS: Readonly<Record<Kind, Check>> = {
  limit: ({ name, from, limitPerS }, arrivals) => {
    const settled = arrivals
      .map(({ at }) => at)
      .filter((at) => at >= from + COMMON_SETTINGS.settleMs);
    const most = mostInSpan(settled);
    return most > allowedBy(limitPerS)
      ? [`${name} with a limit of ${limitPerS}/s received ${most} requests in 4 s`]
      : [];
  },
  rest: ({ name, restS }, arrivals, daemonOf) =>
    [...timesByDaemon(arrivals, daemonOf)].flatMap(([daemon, times]) => {
      const most = mostInRest(times, restS);
      return most > MOST_IN_REST
        ? [`${name} with Retry-After ${restS} s received ${most} requests from ${daemon}`]
        : [];
    }),
  leaving: ({ name }, arrivals, daemonOf) =>
    [...timesByDaemon(arrivals, daemonOf)].flatMap(([daemon, times]) => {
      const late = times.filter((t) => t > Math.min(...times) + COMMON_SETTINGS.leavingMs).length;
      return late > 0
        ? [`${name} was leaving and received ${late} late requests from ${daemon}`]
        : [];
    }),
  spoiled: () => [],
};

/** Runs a round and returns the violations of server headers; `calls` are those of the entire soak. */
export async function runStatementRound(
  world: World,
  random: Random,
  calls: readonly Call[],
): Promise<string[]> {
  const { platform } = world;
  const { statements, fleet } = platform;
  const senders = chooseSenders(world, random);
  for (const sender of senders) {
    statements.responseHeaders.set(sender.name, HEADERS_BY_KIND[sender.kind](sender, random));
    if (sender.kind === 'rest') statements.shedding.add(sender.name);
  }
  // The stand-in breaks off what runs when a group that is leaving is closed.
  const leaving = senders.flatMap(({ kind, head }) =>
    kind === 'leaving' && head ? [head.id] : [],
  );
  const isOver = world.incidents.noteServers(world.withGroups(leaving));
  await pause(ROUND_MS);
  const daemonOf = new Map(calls.map(({ requestId, daemon }) => [requestId, daemon]));
  const faults = senders.flatMap((sender) => {
    const { name, from } = sender;
    const own = statements.arrivals.filter((one) => one.server === name && one.at >= from);
    return CHECKS[sender.kind](sender, own, daemonOf);
  });
  for (const { kind, name, head } of senders) {
    statements.responseHeaders.delete(name);
    statements.shedding.delete(name);
    if (kind !== 'leaving' || !head) continue;
    fleet.kill(head.id);
    await platform.addEngine(head.domain);
  }
  isOver();
  return faults;
}
