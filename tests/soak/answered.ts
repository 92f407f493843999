/**
 * Checks that callers got an answer. No check is excused by time alone: a server or daemon that the call
 * concerns must have ended or lost connections, or the answer itself must have been spoiled.
 */

import { MOST_SPOILED_BYTES } from '../../stand-ins/users-platform/spoils';
import type { Run } from '../../stand-ins/users-platform/servers';
import type { ServerName } from '../../src/core/ids';
import { ANSWER_SLACK_MS } from './callers';
import type { Call } from './callers';
import { CALL_DEADLINE_MS } from './world';
import type { World } from './world';

/** A request that crosses the close of its connection by a daemon that stops is not owed an answer; later, it is. */
const CROSSING_MS = 500;

/** Servers that the call reached, whether they ran it or not. */
export type ReachedServers = (requestId: string) => readonly ServerName[];

/** The connection ended without an answer, and the daemon did not end with it. */
export function checkMissing(call: Call, runs: readonly Run[], world: World): string | undefined {
  const { daemon, sentAt, endedAt, reply, error, isAfterClose } = call;
  if (reply !== undefined || call.hasGivenUp === true) return undefined;
  // Nobody listens: a daemon that ended by itself is reported as such.
  if (error === 'ECONNREFUSED') return undefined;
  const { incidents } = world;
  if (incidents.hasExited(daemon, sentAt, endedAt) || incidents.ranOutOfGrace(call))
    return undefined;
  const afterMs = `after ${Math.round(endedAt - sentAt)} ms (${error ?? ''})`;
  if (runs.length > 0) return `ran at ${runs.at(-1)?.server ?? ''} and got no answer ${afterMs}`;
  const isCrossing =
    incidents.wasStopping(daemon, sentAt, endedAt) && endedAt - sentAt <= CROSSING_MS;
  if (isCrossing || isAfterClose === true) return undefined;
  const ofWhom = world.isReadable(call.organisation)
    ? ''
    : ', organisation that no header can hold';
  return `closed unanswered ${afterMs}${ofWhom}`;
}

/** A request has a final answer soon after its deadline, unless its daemon stood still then. */
export function checkHeld({ daemon, sentAt, hasGivenUp }: Call, { incidents }: World): string[] {
  const from = sentAt + CALL_DEADLINE_MS;
  if (hasGivenUp !== true || incidents.stoodStill(daemon, from, from + ANSWER_SLACK_MS)) return [];
  return [`no answer ${ANSWER_SLACK_MS} ms after its deadline`];
}

/** A 502 says that a server ended; it is a fault unless one did, or spoiled the answer. */
export function checkBadGateway(
  call: Call,
  runs: readonly Run[],
  world: World,
  reached: ReachedServers,
): string | undefined {
  if (call.reply?.status !== 502) return undefined;
  const { spoils } = world.platform;
  const isSpoiled = spoils.sent.some(({ requestId }) => requestId === call.requestId);
  if (isSpoiled || runs.some((run) => run.isSpoiled === true)) return undefined;
  if (!world.isReadable(call.organisation)) return undefined;
  const servers = reached(call.requestId);
  // Where no server was reached, any that lost its connections may have been the one.
  const isConcerned =
    servers.length > 0
      ? world.incidents.concerns(call, servers)
      : world.incidents.concerns(call, world.serverNames());
  return isConcerned ? undefined : `502, reached ${servers.join() || 'no server'}`;
}

/** Bytes that can become no answer are not read for good. */
export function checkSpoils({ platform }: World): string[] {
  return platform.spoils.sent
    .filter(({ bytes }) => bytes >= MOST_SPOILED_BYTES)
    .map(({ kind, requestId }) => `${requestId || 'a question'}: read ${kind} for good`);
}
