/** Callers beside planned work: raw connections, each to the daemon that the balancer chooses, used until they close. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { HEADERS } from '../../platform/names';
import type { Random } from '../../src/ports/runtime';
import { parseAddress } from '../../src/utils/address';
import { pause } from '../../src/utils/pause';
import { LARGE, SMALL } from '../gateway/support';
import type { Reply } from '../support/gateway-daemon';
import type { Balancer } from './balancer';
import { ANSWER_SLACK_MS } from './callers';
import type { Kind } from './callers';
import { splitAnswers } from './pipelines';
import { KEY } from './world';

export const DEADLINE_MS = 8_000;
const PART_MS = 250;
const BATCH = 3;
const FAILURE_RETRY_MS = 150;

/** How a caller's connection ended, or that it was answered or gave up first. */
export type End = 'answered' | 'refused' | 'closed' | 'reset' | 'given-up';
/** `kept` and `pipelined` use a connection until it closes, `new` uses each once, `idle` rests between requests. */
export type CallerType = 'kept' | 'pipelined' | 'new' | 'idle';

/** A request as its caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly kind: Kind;
  readonly caller: CallerType;
  readonly daemon: string;
  /** Whether its connection was used for a request before. */
  readonly isKept: boolean;
  /** When its last byte was sent; undefined if the connection ended before that. */
  sentAt: number | undefined;
  endedAt: number;
  end: End;
  reply: Reply | undefined;
}

export interface Load {
  readonly perType: number;
  readonly kinds: readonly Kind[];
  readonly events: readonly [number, number];
  /** Mean time between an answer and the next request. */
  readonly restMs: number;
  readonly isInParts: boolean;
}

const TYPES: readonly CallerType[] = ['kept', 'kept', 'pipelined', 'new', 'idle'];
const PLAIN: readonly Kind[] = ['safe', 'unsafe'];

const pickFrom = <T>(random: Random, list: readonly T[]): T | undefined =>
  list[Math.floor(random.next() * list.length)];

function encode({ requestId, kind }: Attempt, model: string, body: string): string {
  const lines = Object.entries({
    Host: 'a.example',
    Authorization: `Bearer ${KEY}`,
    [HEADERS.requestId]: requestId,
    [HEADERS.waitMs]: String(DEADLINE_MS),
    [HEADERS.model]: model,
    [HEADERS.tokenCounts]: '100,18',
    'Content-Length': String(body.length),
  }).map(([name, value]) => `${name}: ${value}`);
  return [`POST /${kind}/x HTTP/1.1`, ...lines, '', ''].join('\r\n');
}

/** Whether the bytes may be all answers; spares splitting a stream at each event. */
const mayBeAll = (text: string): boolean =>
  text.endsWith('0\r\n\r\n') || !text.slice(-400).includes('\ndata: ');

function openSocket(front: string): Promise<Socket | undefined> {
  const socket = connect({ ...parseAddress(front), noDelay: true });
  return new Promise((resolve) => {
    socket.once('connect', () => {
      resolve(socket);
    });
    socket.on('error', () => {
      resolve(undefined);
    });
  });
}

interface Outgoing {
  readonly attempt: Attempt;
  readonly head: string;
  readonly body: string;
}

/** Sends a batch on a connection and notes what became of it; whether the connection may be used again. */
async function exchange(
  socket: Socket,
  batch: readonly Outgoing[],
  isInParts: boolean,
): Promise<boolean> {
  let text = '';
  let end: End | undefined;
  let endedAt = Infinity;
  let finish: () => void = () => undefined;
  const isOver = new Promise<void>((resolve) => (finish = resolve));
  const over = (how: End): void => {
    if (end !== undefined) return;
    end = how;
    endedAt = performance.now();
    finish();
  };
  const read = (chunk: Buffer): void => {
    text += chunk.toString('latin1');
    const isAll =
      mayBeAll(text) && splitAnswers(text).filter(({ isWhole }) => isWhole).length === batch.length;
    if (isAll) over('answered');
  };
  const reset = (): void => {
    over('reset');
  };
  const close = (): void => {
    over('closed');
  };
  socket.on('data', read).on('error', reset).on('end', close).on('close', close);
  const timer = setTimeout(over, DEADLINE_MS + ANSWER_SLACK_MS, 'given-up');
  const noteSent = (): void => {
    for (const { attempt } of batch) if (end === undefined) attempt.sentAt = performance.now();
  };
  if (isInParts && batch[0]) {
    socket.write(batch[0].head + batch[0].body.slice(0, 3));
    await Promise.race([pause(PART_MS), isOver]);
    if (socket.writable) socket.write(batch[0].body.slice(3));
  } else socket.write(batch.map(({ head, body }) => head + body).join(''));
  noteSent();
  await isOver;
  clearTimeout(timer);
  socket.off('data', read).off('error', reset).off('end', close).off('close', close);
  const answers = splitAnswers(text);
  batch.forEach(({ attempt }, n) => {
    attempt.reply = answers[n];
    attempt.endedAt = endedAt;
    attempt.end = answers[n]?.isWhole === true ? 'answered' : (end ?? 'closed');
  });
  const isClosing = answers.some(({ headers }) => headers.connection === 'close');
  return end === 'answered' && !isClosing && !socket.destroyed;
}

export interface PlannedCallers {
  readonly attempts: readonly Attempt[];
  stop(): Promise<void>;
}

/** Starts callers of all types in each zone. */
export function startPlannedCallers(
  balancer: Balancer,
  random: Random,
  { zones, load }: { readonly zones: readonly string[]; readonly load: Load },
): PlannedCallers {
  const attempts: Attempt[] = [];
  let isStopping = false;
  const hasStopped = (): boolean => isStopping;
  const rest = (ms: number): Promise<void> => pause(random.next() * 2 * ms);

  const create = (caller: CallerType, daemon: string, isKept: boolean): Outgoing => {
    const kind = pickFrom(random, caller === 'pipelined' ? PLAIN : load.kinds) ?? 'safe';
    const requestId = `${kind}-${attempts.length}`;
    const [least, most] = load.events;
    const events = least + Math.floor(random.next() * (most - least));
    const attempt: Attempt = {
      ...{ requestId, kind, caller, daemon, isKept, sentAt: undefined },
      ...{ endedAt: performance.now(), end: 'refused', reply: undefined },
    };
    attempts.push(attempt);
    const body = `events=${events}&of=${requestId}`;
    return { attempt, body, head: encode(attempt, random.next() < 0.5 ? LARGE : SMALL, body) };
  };

  const useConnection = async (type: CallerType, socket: Socket, daemon: string) => {
    let isUsable = true;
    for (let used = 0; isUsable && !hasStopped() && !socket.destroyed; used++) {
      const size = type === 'pipelined' ? BATCH : 1;
      const batch = Array.from({ length: size }, () => create(type, daemon, used > 0));
      isUsable = await exchange(socket, batch, load.isInParts && size === 1);
      if (type === 'new') break;
      if (isUsable) await rest(type === 'idle' ? load.restMs * 6 : load.restMs);
    }
    socket.destroy();
    return isUsable;
  };

  const runCaller = async (type: CallerType, zone: string, n: number): Promise<void> => {
    await rest(load.restMs);
    for (let tries = n; !hasStopped(); tries++) {
      const daemon = balancer.choose(zone, tries);
      const socket = daemon && (await openSocket(daemon.front));
      if (daemon && !socket) create(type, daemon.id, false);
      const isSound = daemon && socket && (await useConnection(type, socket, daemon.id));
      if (isSound === true) tries -= 1;
      await rest(isSound === true ? load.restMs : FAILURE_RETRY_MS);
    }
  };

  const running = zones.flatMap((zone) =>
    TYPES.flatMap((type) =>
      Array.from({ length: load.perType }, (_, n) => runCaller(type, zone, n)),
    ),
  );
  return {
    attempts,
    stop: async () => {
      isStopping = true;
      await Promise.all(running);
    },
  };
}
