/** Passes the answer of one attempt of a stream on to the caller, by whole events alone. */

import type { Answered } from '../../adapters/upstream/upstream';
import { createEventReader } from '../../core/gateway/events';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { AnswerFacts, Dialect } from '../../ports/gateway';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GatewayContext } from './context';
import type { Exchange, Execution } from './exchange';
import type { ServerNotices } from './server-notices';

export interface RelayDeps {
  readonly ctx: GatewayContext;
  readonly board: GroupRegistry;
  readonly dialect: Dialect;
  readonly notices: ServerNotices;
}

/** Progress of one caller's stream over all its attempts. */
export interface StreamState {
  readonly tried: Set<InstanceId>;
  /** Groups that it was sent to. */
  attempts: number;
  /** Groups whose heads could not be reached. */
  unreached: number;
  /** Head of the group that it was sent to last. */
  server: InstanceId | undefined;
  exposure: Execution;
  /** Id of the last event that the caller has. */
  lastId: number | undefined;
  hasStarted: boolean;
  /** Time spent waiting for places, milliseconds. */
  waitedMs: number;
  /** When the caller was sent its first event. */
  firstEventAt: MonoTime | undefined;
  reason: string;
}

/** A request's place in a group. */
export interface Slot {
  readonly sentAt: MonoTime;
  /** When the first event showed that the prompt has been read. */
  prefilledAt: MonoTime | undefined;
}

/** An answer that is being passed on. */
export interface RelayedAnswer {
  readonly deps: RelayDeps;
  readonly exchange: Exchange;
  readonly group: ServingGroup;
  readonly state: StreamState;
  readonly answered: Answered;
  readonly stop: AbortSignal;
  readonly slot: Slot;
}

/** How one attempt ended. */
export type AttemptResult =
  'complete' | 'passed-on' | 'not-sent' | 'not-run' | 'lost' | 'caller-gone';

/** Why an attempt was stopped, where it was; else what its connection says. */
export function abortReason(signal: AbortSignal, otherwise: string): string {
  return signal.reason instanceof Error ? signal.reason.message : otherwise;
}

/** Passes the answer on to its end or to where it breaks. */
export async function relay(relayed: RelayedAnswer): Promise<AttemptResult> {
  const { deps, exchange, group, state, answered, stop } = relayed;
  const { res, destroy } = answered;
  const status = res.statusCode ?? 0;
  const facts = deps.notices.read(group.head.id, res, relayed.slot.sentAt);
  const lose = (reason: string): AttemptResult => {
    state.reason = reason;
    destroy();
    return exchange.gone.aborted ? 'caller-gone' : 'lost';
  };
  if (facts.requestId !== undefined && facts.requestId !== exchange.facts.requestId) {
    return lose('answer to another request');
  }
  if (facts.isNotExecuted) {
    res.resume();
    state.reason = `server says not executed (${status})`;
    deps.board.suspect(group.id, 'rejecting', state.reason);
    return 'not-run';
  }
  if (status >= 300) return passFailure(deps, exchange, state, answered, facts);
  if (!facts.isSigned) return lose('answer without signature');
  const reason = await passEvents(relayed);
  if (reason !== undefined) return lose(abortReason(stop, reason));
  exchange.res.end();
  return 'complete';
}

/** A failure that the server answered with: passed on where nothing was passed on before. */
async function passFailure(
  deps: RelayDeps,
  exchange: Exchange,
  state: StreamState,
  { res, destroy, hasFailed }: Answered,
  facts: AnswerFacts,
): Promise<AttemptResult> {
  const status = res.statusCode ?? 0;
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of res) chunks.push(chunk as Buffer);
  } catch {
    // Broken off: `complete` tells.
  }
  state.reason = `server answered ${status}`;
  if (!res.complete || hasFailed() || state.hasStarted || !facts.isSigned) {
    destroy();
    return 'lost';
  }
  const body = Buffer.concat(chunks);
  const headers = deps.dialect.reply(res.rawHeaders);
  exchange.res.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
  exchange.res.end(body);
  return 'passed-on';
}

/** Passes events on until the end; gives a reason where the stream is not whole. */
function passEvents(relayed: RelayedAnswer): Promise<string | undefined> {
  const { deps, exchange, group, state, stop, slot: place } = relayed;
  const { ctx, board, dialect } = deps;
  const head = group.head.id;
  const { res: from, hasFailed } = relayed.answered;
  const { res } = exchange;
  const reader = createEventReader();
  let lastAt: MonoTime | undefined;
  return new Promise((resolve) => {
    const start = (): void => {
      if (state.hasStarted) return;
      state.hasStarted = true;
      const headers = dialect.reply(from.rawHeaders);
      res.writeHead(from.statusCode ?? 200, headers);
    };
    const onChunk = (chunk: Buffer): void => {
      const passed: Buffer[] = [];
      for (const { bytes, id } of reader.push(chunk)) {
        if (id !== undefined) {
          if (state.lastId !== undefined && id !== state.lastId + 1) {
            resolve(`event ${id} after ${state.lastId}`);
            return;
          }
          state.lastId = id;
        }
        passed.push(bytes);
      }
      if (reader.isEventTooLong()) {
        resolve('event too long');
        return;
      }
      if (passed.length === 0) return;
      const now = ctx.clock.now();
      board.noteEvent(head, lastAt === undefined ? undefined : now - lastAt);
      lastAt = now;
      if (place.prefilledAt === undefined) board.notePrefilled(head, exchange.facts.promptTokens);
      place.prefilledAt ??= now;
      state.firstEventAt ??= now;
      start();
      res.write(passed.length === 1 ? passed[0] : Buffer.concat(passed));
    };
    from.on('data', onChunk);
    from.on('end', () => {
      if (!from.complete || reader.hasPartialEvent() || hasFailed()) resolve('stream broken off');
      else {
        start();
        resolve(undefined);
      }
    });
    from.on('error', () => {
      resolve('stream broken off');
    });
    from.on('close', () => {
      resolve('stream broken off');
    });
    stop.addEventListener('abort', () => {
      from.off('data', onChunk);
      resolve(abortReason(stop, 'stopped'));
    });
  });
}
