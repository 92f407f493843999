/** Forwards the answer of one attempt of a stream to the caller, in whole events only. */

import type { Observable } from 'rxjs';

import { discardBody, readBody } from '../../adapters/upstream/answer-input';
import type { Answered } from '../../adapters/upstream/upstream';
import { createEventReader } from '../../core/gateway/events';
import { mayPassOn } from '../../core/gateway/promises';
import type { Framing } from '../../core/gateway/response-framing';
import { chunkFault, eventFault } from '../../core/gateway/stream-runs';
import type { GroupId, InstanceId, MonoTime } from '../../core/ids';
import { createBodyAccount, MAX_FAILURE_BYTES, MAX_UNREAD_BYTES } from '../../core/input-limits';
import type { ResponseFacts, HeaderDialect } from '../../ports/gateway';
import { beginResponse, CUT_BEHIND_HEAD, sendResponse } from './caller-response';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GatewayContext } from './context';
import type { Exchange, Execution } from './exchange';
import type { ServerNotices } from './server-notices';
import type { GroupTrace, Lack } from './stream-trace';
import { noteUnexpected } from './unexpected';

export interface RelayDeps {
  readonly ctx: GatewayContext;
  readonly groupRegistry: GroupRegistry;
  readonly dialect: HeaderDialect;
  readonly notices: ServerNotices;
}

/** Progress of one caller's stream over all its attempts. */
export interface StreamState {
  /** Groups that are not to be tried next. A new one may have the head of one that ended. */
  tried: Set<GroupId>;
  /** Heads that could not be sent it a moment ago, and until when they are not tried again. */
  readonly unreachedUntil: Map<InstanceId, MonoTime>;
  /** Number of groups that it was or is being sent to. */
  attempts: number;
  /** Number of groups whose heads could not be reached. */
  unreached: number;
  /** Head of the group that it was last sent to. */
  server: InstanceId | undefined;
  exposure: Execution;
  /** Id of the last event that the caller received. */
  lastId: number | undefined;
  hasStarted: boolean;
  /** Time spent waiting for slots, milliseconds. */
  waitedMs: number;
  /** When a group was last lost with it. */
  lostAt: MonoTime | undefined;
  /** When the caller was sent its first event. */
  firstEventAt: MonoTime | undefined;
  /** Of the last attempt: time from its first event to its end, milliseconds. */
  answeringMs: number | undefined;
  /** The group of the last attempt. */
  trace: GroupTrace | undefined;
  /** How the end of the answer was known that ended the stream. */
  framing: Framing | undefined;
  /** Whether a retry was taken from the budget for it and not used. */
  hasRetry: boolean;
  /** Why it did not go on in another group. */
  lacked: Lack | undefined;
  reason: string;
}

/** A request's slot in a group. */
export interface Slot {
  readonly sentAt: MonoTime;
  /** When the request was written to the connection. */
  writtenAt: MonoTime | undefined;
  /** When the first event showed that the prefill was done. */
  prefilledAt: MonoTime | undefined;
  lastEventAt: MonoTime | undefined;
  /** Whether the stream is not read at present, as its caller does not read. */
  isHeld: boolean;
}

/** What a run may know and do about the other runs of its stream. */
export interface RunControl {
  /** Closes its connection. */
  readonly stop: AbortController;
  /** Whether what it sends reaches the caller. */
  isForwarded(): boolean;
  isLatest(): boolean;
  isOnly(): boolean;
  /** Forwards this run from now on and closes all others; false if it was closed itself. */
  goOnAlone(): boolean;
  /** Begins another run, at a group in which a slot was taken. */
  begin(group: ServingGroup): void;
  /** Emits when another run has ended and this stream has not. */
  readonly ends: Observable<void>;
}

/** An answer that is being forwarded. */
export interface RelayedAnswer {
  readonly deps: RelayDeps;
  readonly exchange: Exchange;
  readonly group: ServingGroup;
  readonly state: StreamState;
  readonly answered: Answered;
  readonly run: RunControl;
  readonly slot: Slot;
  /** Called after each event. */
  readonly onEvent: () => void;
}

/** How one attempt ended. */
export type AttemptResult =
  'complete' | 'passed-on' | 'not-sent' | 'not-run' | 'lost' | 'caller-gone';

/** A result and the reason for it. */
export interface RelayEnd {
  readonly result: AttemptResult;
  readonly reason: string;
}

/** Why an attempt was aborted; `otherwise` if it was not. */
export function abortReason(signal: AbortSignal, otherwise: string): string {
  return signal.reason instanceof Error ? signal.reason.message : otherwise;
}

/** Forwards the answer until it ends or is interrupted. */
export async function relay(relayedAnswer: RelayedAnswer): Promise<RelayEnd> {
  const { deps, exchange, group, answered, run } = relayedAnswer;
  const { res, destroy } = answered;
  const status = res.statusCode ?? 0;
  const facts = deps.notices.read(group.head.id, res, relayedAnswer.slot.sentAt);
  const discard = (reason: string): RelayEnd => {
    destroy();
    return { result: exchange.gone.aborted ? 'caller-gone' : 'lost', reason };
  };
  if (facts.requestId !== undefined && facts.requestId !== exchange.facts.requestId) {
    return discard('answer belongs to another request');
  }
  if (facts.isNotExecuted) {
    discardBody(answered);
    const reason = `server reports the request as not executed (status ${status})`;
    deps.groupRegistry.suspect(group.id, 'rejecting', reason);
    return { result: 'not-run', reason };
  }
  if (res.headers['content-encoding'] !== undefined)
    return discard('answer has an unexpected Content-Encoding');
  if (status >= 300) return forwardError(relayedAnswer, facts);
  if (!facts.isSigned) return discard('answer is not signed');
  const reason = await forwardEvents(relayedAnswer);
  if (reason !== undefined) return discard(abortReason(run.stop.signal, reason));
  relayedAnswer.state.framing = answered.framing;
  exchange.res.end();
  return { result: 'complete', reason: '' };
}

/** Forwards an error response of the server if nothing was forwarded before and no other server is at work. */
async function forwardError(
  { deps, exchange, state, answered, run }: RelayedAnswer,
  facts: ResponseFacts,
): Promise<RelayEnd> {
  const { res, framing, destroy, hasFailed } = answered;
  const status = res.statusCode ?? 0;
  const reason = `server answered ${status}`;
  const isForwarded =
    !state.hasStarted && run.isOnly() && facts.isSigned && mayPassOn(status, exchange.route);
  const body = isForwarded
    ? await readBody(answered, MAX_FAILURE_BYTES, run.stop.signal)
    : undefined;
  if (!body || hasFailed() || !run.goOnAlone()) {
    destroy();
    return { result: 'lost', reason };
  }
  sendResponse(
    exchange.res,
    { status, headers: deps.dialect.reply(res.rawHeaders), framing },
    body,
  );
  state.framing = framing;
  return { result: 'passed-on', reason };
}

/** Forwards events until the end; resolves with a reason if the stream is incomplete. */
function forwardEvents(relayedAnswer: RelayedAnswer): Promise<string | undefined> {
  const { deps, exchange, group, state, run, slot, onEvent } = relayedAnswer;
  const stop = run.stop.signal;
  const { ctx, groupRegistry, dialect } = deps;
  const head = group.head.id;
  const { res: upstreamRes, framing, hasFailed } = relayedAnswer.answered;
  const { res } = exchange;
  const reader = createEventReader();
  const account = createBodyAccount(() => ctx.clock.now());
  /** Empty events do not begin an answer: until it has begun, and goes on with this run, they are held. */
  const unwritten: Buffer[] = [];
  let isSettled = false;
  return new Promise((resolve) => {
    const start = (): void => {
      if (state.hasStarted) return;
      const headers = dialect.reply(upstreamRes.rawHeaders);
      beginResponse(res, { status: upstreamRes.statusCode ?? 200, headers });
      state.hasStarted = true;
    };
    /** Ends the reading: the parser may deliver more of the bytes that it has. */
    const settle = (reason: string | undefined): void => {
      isSettled = true;
      hold(false);
      upstreamRes.off('data', forwardChunk);
      resolve(reason);
    };
    /** Notes that the group is there, although it has sent no event. */
    const noteLife = (): void => {
      onEvent();
      groupRegistry.noteEvent(head, undefined);
    };
    const noteProgress = (): void => {
      const now = ctx.clock.now();
      const { lastEventAt } = slot;
      slot.lastEventAt = now;
      onEvent();
      groupRegistry.noteEvent(head, lastEventAt === undefined ? undefined : now - lastEventAt);
      if (slot.prefilledAt === undefined)
        groupRegistry.notePrefilled(head, exchange.facts.promptTokens);
      slot.prefilledAt ??= now;
      state.firstEventAt ??= now;
    };
    const hold = (isHeld: boolean): void => {
      if (slot.isHeld === isHeld) return;
      slot.isHeld = isHeld;
      groupRegistry.noteHeld(head, isHeld);
    };
    const write = (): void => {
      if (unwritten.length === 0) return;
      const events = unwritten.splice(0);
      res.write(events.length === 1 ? events[0] : Buffer.concat(events));
      const isFull = res.writableLength > MAX_UNREAD_BYTES;
      if (!isFull || upstreamRes.isPaused()) return;
      upstreamRes.pause();
      hold(true);
      res.once('drain', () => {
        hold(false);
        upstreamRes.resume();
      });
    };
    /** Events before a fault are sound: they are forwarded, as a new run goes on after the last of them. */
    const onChunk = (chunk: Buffer): void => {
      let fault = account.note(chunk.length);
      let hasProgress = false;
      let hasComment = false;
      const events = reader.push(chunk);
      if (!run.isForwarded()) fault ??= reader.fault() ?? chunkFault(events, state.lastId);
      if (fault !== undefined && !run.isForwarded()) {
        settle(fault);
        return;
      }
      for (const { bytes, id, isEmpty, isComment } of events) {
        if (!isEmpty) {
          const wrong = eventFault({ id, lastId: state.lastId }, run.isForwarded());
          if (wrong !== undefined || !run.goOnAlone()) {
            fault = wrong ?? 'stopped';
            break;
          }
          hasProgress = true;
        }
        if (id !== undefined) state.lastId = id;
        unwritten.push(bytes);
        if (isComment) hasComment = true;
      }
      if (hasProgress) {
        noteProgress();
        start();
      } else if (hasComment) noteLife();
      if (state.hasStarted && run.isForwarded()) write();
      fault ??= reader.fault();
      if (fault !== undefined) settle(fault);
    };
    /** After an error no later event is forwarded, as it would follow ones that are missing. */
    const guard = (read: () => void): void => {
      const { lastId } = state;
      try {
        read();
      } catch (err) {
        noteUnexpected(ctx, 'relay', err);
        state.lastId = lastId;
        settle('unexpected error');
      }
    };
    const forwardChunk = (chunk: Buffer): void => {
      guard(() => {
        onChunk(chunk);
      });
    };
    const onEnd = (): void => {
      if (isSettled) return;
      if (!upstreamRes.complete || reader.hasPartialEvent() || hasFailed()) {
        settle('stream interrupted');
        return;
      }
      if (framing === 'close' && slot.lastEventAt === undefined) {
        settle(CUT_BEHIND_HEAD);
        return;
      }
      if (!run.goOnAlone()) {
        settle('stopped');
        return;
      }
      start();
      write();
      settle(undefined);
    };
    upstreamRes.on('data', forwardChunk);
    upstreamRes.on('end', () => {
      guard(onEnd);
    });
    const onBroken = (): void => {
      settle('stream interrupted');
    };
    upstreamRes.on('error', onBroken);
    upstreamRes.on('close', onBroken);
    const onStop = (): void => {
      settle(abortReason(stop, 'stopped'));
    };
    stop.addEventListener('abort', onStop);
    if (stop.aborted) onStop();
  });
}
