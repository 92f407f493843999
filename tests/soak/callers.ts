/** Callers that keep asking for as long as a soak runs, on connections that they keep. */

import { Agent } from 'node:http';

import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { callDaemon } from '../support/gateway-daemon';
import type { Reply } from '../support/gateway-daemon';
import { LARGE, SMALL } from '../gateway/support';
import { KEY } from './world';
import type { World } from './world';

export type Kind = 'stream' | 'safe' | 'unsafe';

/** What one call asked for, and what came of it. */
export interface Call {
  readonly requestId: string;
  readonly kind: Kind;
  readonly body: string;
  readonly events: number;
  readonly daemon: string;
  /** Undefined where the connection ended without an answer, or the caller left. */
  reply: Reply | undefined;
}

const KINDS: readonly Kind[] = ['stream', 'stream', 'safe', 'unsafe'];
const LONGEST_STREAM = 80;
const REST_MS = 25;
const WAIT_MS = 5_000;
/** Refused callers come back after this. */
const REFUSED_REST_MS = 120;

export interface Callers {
  readonly calls: readonly Call[];
  /** Resolves once every caller has its last answer. */
  stop(): Promise<void>;
}

export function startCallers(world: World, random: Random, perDaemon: number): Callers {
  const calls: Call[] = [];
  let isStopping = false;

  const describe = (daemon: string): Call => {
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'safe';
    const requestId = `${kind}-${calls.length}`;
    const events = 1 + Math.floor(random.next() * LONGEST_STREAM);
    const body = `events=${events}&of=${requestId}`;
    return { requestId, kind, body, events, daemon, reply: undefined };
  };

  const callOnce = async (call: Call, front: string, agent: Agent): Promise<void> => {
    const { requestId, kind, body } = call;
    const model = random.next() < 0.5 ? LARGE : SMALL;
    const answer = callDaemon(front, `/${kind}/x`, {
      requestId,
      key: KEY,
      model,
      body,
      agent,
      waitMs: WAIT_MS,
    });
    // Connections end with their process, and callers do not wait beyond their deadline.
    const none = pause(WAIT_MS + 500).then(() => undefined);
    call.reply = await Promise.race([answer.catch(() => undefined), none]);
  };

  const runCaller = async (front: string, daemon: string): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopping) {
      const call = describe(daemon);
      calls.push(call);
      await callOnce(call, front, agent);
      if (call.reply === undefined) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
      }
      await pause(call.reply?.status === 200 ? REST_MS : REFUSED_REST_MS);
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
