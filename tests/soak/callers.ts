/** Callers that send requests over keep-alive connections for as long as a soak runs. */

import { Agent } from 'node:http';

import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { callDaemon } from '../support/gateway-daemon';
import type { Reply } from '../support/gateway-daemon';
import { LARGE, SMALL } from '../gateway/support';
import { CALL_DEADLINE_MS, KEY } from './world';
import type { Organisation, World } from './world';

/** `once` is a stream that may not be resumed. */
export type Kind = 'stream' | 'once' | 'safe' | 'unsafe';

/** A request and its outcome. */
export interface Call {
  readonly requestId: string;
  readonly kind: Kind;
  readonly body: string;
  readonly events: number;
  readonly daemon: string;
  readonly sentAt: number;
  endedAt: number;
  /** Undefined if the connection closed without a response or the caller gave up. */
  reply: Reply | undefined;
  /** Whether the caller gave up, as it had no final answer some time after its deadline. */
  hasGivenUp?: boolean;
  /** The organisation whose key it has. */
  readonly organisation: string;
  /** Code of the error that it ended with, if it has no reply. */
  error?: string;
  /** Sent on a connection whose last answer said that it is being closed. */
  isAfterClose?: boolean;
}

/** The organisation of the first configuration. */
export const DEPOT = { name: 'depot', key: KEY };
const KINDS: readonly Kind[] = ['stream', 'stream', 'safe', 'unsafe'];
/** Kinds of the callers that also use the keys of added organisations. */
const FURTHER_KINDS: readonly Kind[] = ['once', 'once', 'safe', 'unsafe'];
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

let lastCall = 0;

/** A new call; `random` chooses its kind and size. */
export function createCall(
  random: Random,
  daemon: string,
  kinds: readonly Kind[],
  organisation = DEPOT.name,
): Call {
  const kind = kinds[Math.floor(random.next() * kinds.length)] ?? 'safe';
  const requestId = `${kind}-${lastCall++}`;
  const events = 1 + Math.floor(random.next() * MAX_STREAM_EVENTS);
  const body = `events=${events}&of=${requestId}`;
  const sentAt = performance.now();
  return {
    ...{ requestId, kind, body, events, daemon, sentAt, endedAt: Infinity, reply: undefined },
    organisation,
  };
}

export interface CallerOptions {
  readonly perDaemon: number;
  /** Also sends streams that may not be resumed, and uses the keys of added organisations. */
  readonly isFurther?: boolean;
}

/** Starts `perDaemon` callers at each daemon; `random` chooses their requests. */
export function startCallers(
  world: World,
  random: Random,
  { perDaemon, isFurther = false }: CallerOptions,
): Callers {
  const calls: Call[] = [];
  let isStopping = false;
  const kinds = isFurther ? FURTHER_KINDS : KINDS;

  const chooseOrganisation = (): Organisation => {
    const all = [DEPOT, ...world.organisations];
    return (isFurther ? all[Math.floor(random.next() * all.length)] : undefined) ?? DEPOT;
  };

  const sendCall = async (call: Call, key: string, front: string, agent: Agent): Promise<void> => {
    const { requestId, kind, body } = call;
    const model = random.next() < 0.5 ? LARGE : SMALL;
    const response = callDaemon(front, `/${kind}/x`, {
      requestId,
      key,
      model,
      body,
      agent,
      waitMs: CALL_DEADLINE_MS,
    });
    // A connection closes when its daemon exits; callers do not wait past their deadline.
    const timeout = pause(CALL_DEADLINE_MS + ANSWER_SLACK_MS).then(() => 'given-up' as const);
    const failed = (err: unknown): undefined => {
      call.error = (err as NodeJS.ErrnoException).code ?? String(err);
    };
    const ended = await Promise.race([response.catch(failed), timeout]);
    if (ended === 'given-up') call.hasGivenUp = true;
    else call.reply = ended;
    call.endedAt = performance.now();
  };

  const runCaller = async (front: string, daemon: string): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopping) {
      const { name, key } = chooseOrganisation();
      const call = createCall(random, daemon, kinds, name);
      calls.push(call);
      await sendCall(call, key, front, agent);
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
