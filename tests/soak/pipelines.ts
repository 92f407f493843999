/** Callers that send several requests at once on a connection, and keep it until the daemon closes it. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { HEADERS } from '../../platform/names';
import type { Random } from '../../src/ports/runtime';
import { parseAddress } from '../../src/utils/address';
import { pause } from '../../src/utils/pause';
import type { Reply } from '../support/gateway-daemon';
import { ANSWER_SLACK_MS, createCall, DEPOT } from './callers';
import type { Call, Callers, Kind } from './callers';
import { CALL_DEADLINE_MS } from './world';
import type { World } from './world';

const KINDS: readonly Kind[] = ['safe', 'unsafe'];
const BATCH = 3;
const BATCH_INTERVAL_MS = 60;
const POLL_MS = 5;

function encode({ kind, requestId, body }: Call): string {
  const head = {
    Host: 'a.example',
    Authorization: `Bearer ${DEPOT.key}`,
    [HEADERS.requestId]: requestId,
    [HEADERS.waitMs]: String(CALL_DEADLINE_MS),
    'Content-Length': String(body.length),
  };
  const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}`);
  return [`POST /${kind}/x HTTP/1.1`, ...lines, '', body].join('\r\n');
}

/** The answers of a connection, in order; bodies of the soak contain no status line. */
export function splitAnswers(text: string): Reply[] {
  return text.split(/(?=HTTP\/1\.1 \d{3} )/).flatMap((answer) => {
    const end = answer.indexOf('\r\n\r\n');
    if (end < 0) return [];
    const [line = '', ...lines] = answer.slice(0, end).split('\r\n');
    const headers = Object.fromEntries(
      lines.map((header): [string, string] => {
        const [name = '', ...value] = header.split(':');
        return [name.toLowerCase(), value.join(':').trim()];
      }),
    );
    const sent = answer.slice(end + 4);
    const length = headers['content-length'];
    const isChunked = length === undefined && headers['transfer-encoding'] !== undefined;
    const body = isChunked ? sent.replaceAll(/(?:^|\r\n)[0-9a-f]+\r\n/g, '').trimEnd() : sent;
    const isWhole = isChunked ? sent.endsWith('0\r\n\r\n') : sent.length === Number(length ?? 0);
    return [{ status: Number(line.split(' ')[1]), headers, text: body, isWhole }];
  });
}

async function openSocket(front: string): Promise<Socket | undefined> {
  const socket = connect({ ...parseAddress(front), noDelay: true });
  socket.on('error', () => undefined);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      resolve(socket);
    });
    socket.once('close', () => {
      resolve(undefined);
    });
  });
}

/** Starts a caller at each daemon. */
export function startPipelines(world: World, random: Random): Callers {
  const calls: Call[] = [];
  let isStopping = false;
  const hasStopped = (): boolean => isStopping;

  /** Sends one batch and notes its answers; whether the connection may be used again. */
  const sendBatch = async (socket: Socket, daemon: string, isAfterClose: boolean) => {
    const batch = Array.from({ length: BATCH }, () => createCall(random, daemon, KINDS));
    calls.push(...batch);
    let text = '';
    const read = (chunk: Buffer): void => {
      text += chunk.toString();
    };
    socket.on('data', read);
    socket.write(batch.map(encode).join(''));
    const until = performance.now() + CALL_DEADLINE_MS + ANSWER_SLACK_MS;
    const hasTimedOut = (): boolean => !socket.destroyed && performance.now() > until;
    const isOver = (): boolean =>
      socket.destroyed ||
      hasTimedOut() ||
      splitAnswers(text).filter(({ isWhole }) => isWhole).length === BATCH;
    while (!isOver()) await pause(POLL_MS);
    const hasGivenUp = hasTimedOut();
    socket.off('data', read);
    const answers = splitAnswers(text);
    let isClosing = isAfterClose;
    batch.forEach((call, n) => {
      call.reply = answers[n];
      call.endedAt = performance.now();
      call.isAfterClose = isClosing;
      if (call.reply === undefined && hasGivenUp) call.hasGivenUp = true;
      else if (call.reply === undefined) call.error = 'closed';
      isClosing ||= call.reply?.headers.connection === 'close';
    });
    return { isClosing, isUsable: !socket.destroyed && answers.length === BATCH };
  };

  const runCaller = async (front: string, daemon: string): Promise<void> => {
    while (!hasStopped()) {
      const socket = await openSocket(front);
      let connection = { isClosing: false, isUsable: socket !== undefined };
      // It goes on after an answer that says that the connection is being closed.
      while (socket && connection.isUsable && !socket.destroyed) {
        connection = await sendBatch(socket, daemon, connection.isClosing);
        if (hasStopped()) break;
        await pause(BATCH_INTERVAL_MS);
      }
      socket?.destroy();
      await pause(BATCH_INTERVAL_MS);
    }
  };

  const running = world.daemons.map(({ front, id }) => runCaller(front, id));
  return {
    calls,
    stop: async () => {
      isStopping = true;
      await Promise.all(running);
    },
  };
}
