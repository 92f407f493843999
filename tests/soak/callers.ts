/** Callers that send requests over keep-alive connections for as long as a soak runs. */

import { Agent } from 'node:http';

import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { callDaemon } from '../support/gateway-daemon';
import type { Reply } from '../support/gateway-daemon';
import { LARGE, SMALL } from '../gateway/support';
import { CALL_DEADLINE_MS, KEY } from './world';
import type { World } from './world';

export type Kind = 'stream' | 'safe' | 'unsafe';

/** A request and its outcome. */
export interface Call {
  readonly requestId: string;
  readonly kind: Kind;
  readonly body: string;
  readonly events: number;
  readonly daemon: string;
  readonly sentAt: number;
  endedAt: number;
  /** Undefined if the connection closed without a response or the caller timed out. */
  reply: Reply | undefined;
}

const KINDS: readonly Kind[] = ['stream', 'stream', 'safe', 'unsafe'];
const MAX_STREAM_EVENTS = 80;
const REQUEST_INTERVAL_MS = 25;
/** Delay before the next request after any response but 200. */
const FAILURE_RETRY_MS = 120;
/** A request has its final answer this long after its deadline. */
export const ANSWER_SLACK_MS = 500;

export interface Callers {
  readonly calls: readonly Call[];
  /** Resolves once every caller has finished its last request. */
  stop(): Promise<void>;
}

/** Starts `perDaemon` callers at each daemon; `random` chooses their requests. */
export function startCallers(world: World, random: Random, perDaemon: number): Callers {
  const calls: Call[] = [];
  let isStopping = false;

  const createCall = (daemon: string): Call => {
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'safe';
    const requestId = `${kind}-${calls.length}`;
    const events = 1 + Math.floor(random.next() * MAX_STREAM_EVENTS);
    const body = `events=${events}&of=${requestId}`;
    const sentAt = performance.now();
    return { requestId, kind, body, events, daemon, sentAt, endedAt: Infinity, reply: undefined };
  };

  const sendCall = async (call: Call, front: string, agent: Agent): Promise<void> => {
    const { requestId, kind, body } = call;
    const model = random.next() < 0.5 ? LARGE : SMALL;
    const response = callDaemon(front, `/${kind}/x`, {
      requestId,
      key: KEY,
      model,
      body,
      agent,
      waitMs: CALL_DEADLINE_MS,
    });
    // A connection closes when its daemon exits; callers do not wait past their deadline.
    const timeout = pause(CALL_DEADLINE_MS + ANSWER_SLACK_MS).then(() => undefined);
    call.reply = await Promise.race([response.catch(() => undefined), timeout]);
    call.endedAt = performance.now();
  };

  const runCaller = async (front: string, daemon: string): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopping) {
      const call = createCall(daemon);
      calls.push(call);
      await sendCall(call, front, agent);
      if (call.reply === undefined) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
      }
      await pause(call.reply?.status === 200 ? REQUEST_INTERVAL_MS : FAILURE_RETRY_MS);
    }
    agent.destroy();
  };

  const running = world.daemons.flatMap(({ front, id }) =>
    Array.from({ length: perDaemon }, () => runCaller(front, id)),
  );
  return {
    calls,
    stop: async () => {
      isStopping = true;
      await Promise.all(running);
    },
  };
}
