/**
 * A stream from a replica group. Whole events are passed on as they come; a stream that breaks goes
 * on at another group from its last event where the route allows it, within the same answer.
 */

import { merge } from 'rxjs';

import type { Upstream } from '../../adapters/upstream/upstream';
import { organisationNameOf } from '../../core/gateway/routes';
import { later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime } from '../../core/ids';
import { fail } from '../../utils/errors';
import type { Throttle } from './throttle';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import {
  endUnanswered,
  logRequestEnd,
  logFailedAttempt,
  backoffError,
  RETRY_AFTER_UNSERVED,
  retryAfterDelay,
} from './exchange';
import type { Exchange, RetryAfter, StreamTimes } from './exchange';
import { takeSlot } from './take-slot';
import type { SlotDeps } from './take-slot';
import type { Retries } from './retries';
import { createRouteTimes } from './route-times';
import type { RouteTimes } from './route-times';
import { abortReason, relay } from './stream-relay';
import type { AttemptResult, Slot, RelayDeps, StreamState } from './stream-relay';

/** A group that lost a member is formed again from warm servers in little more than half a second. */
const UNSERVED_WAIT_MS = 700;
/**
 * Groups that a request may turn to in vain because their heads cannot be reached. Nothing was sent to
 * them, so that this is no retry; it ends where the trouble is this daemon's own link.
 */
const MAX_UNREACHED = 4;

export interface StreamDeps extends RelayDeps, SlotDeps {
  readonly throttle: Throttle;
  readonly upstream: Upstream;
  readonly retries: Retries;
}

export interface StreamCalls {
  call(exchange: Exchange): Promise<void>;
}

export function createStreamCalls(deps: StreamDeps): StreamCalls {
  const { ctx, board, retries } = deps;
  const times = createRouteTimes();

  /** Until when the request must have a place to be on time; a stream that has begun may not wait at all. */
  const placedBy = ({ arrivedAt, route, answerBy }: Exchange, state: StreamState): MonoTime =>
    state.hasStarted ? answerBy : later(arrivedAt, times.slackMs(route));

  const choose = (
    exchange: Exchange,
    model: ModelId,
    state: StreamState,
  ): ServingGroup | undefined => {
    const { service, route, facts } = exchange;
    return takeSlot(deps, {
      service,
      model,
      promptTokens: facts.promptTokens,
      maxPauseMs: route.maxPauseMs,
      tried: state.tried,
      slackMs: times.slackMs(route),
      isLate: ctx.clock.now() >= placedBy(exchange, state),
    });
  };

  /** A caller whose model no group serves is told to come back, for its wait would likely be in vain. */
  const waitUntil = (exchange: Exchange, model: ModelId, state: StreamState): MonoTime => {
    if (state.hasStarted) return exchange.answerBy;
    if (board.hasOpenGroup(exchange.service, model)) return exchange.placeBy;
    const soon = later(exchange.arrivedAt, UNSERVED_WAIT_MS);
    return soon < exchange.placeBy ? soon : exchange.placeBy;
  };

  /** Takes a place in a group, if need be after a wait in turn with other requests. */
  const findGroup = async (
    exchange: Exchange,
    model: ModelId,
    state: StreamState,
  ): Promise<ServingGroup | undefined> => {
    const found = choose(exchange, model, state);
    if (found) return found;
    const since = ctx.clock.now();
    const until = waitUntil(exchange, model, state);
    if (later(since, board.msUntilToken(exchange.service, model)) > until) return undefined;
    const place = await deps.waiting.wait({
      model,
      priority: exchange.priority,
      until,
      arrivedAt: exchange.arrivedAt,
      onTimeUntil: placedBy(exchange, state),
      holdMs: times.holdMs(exchange.route),
      gone: exchange.gone,
      isRetry: state.tried.size > 0,
      choose: () => choose(exchange, model, state),
    });
    state.waitedMs += ctx.clock.now() - since;
    return place;
  };

  const mayGoOn = (exchange: Exchange, state: StreamState, ended: AttemptResult): boolean => {
    const { route } = exchange;
    if (exchange.gone.aborted || ctx.clock.now() >= exchange.answerBy) return false;
    if (ended === 'not-sent') return state.unreached < MAX_UNREACHED;
    if (state.attempts >= route.maxAttempts) return false;
    if (ended === 'lost' && !route.isResumable) return false;
    return retries.mayRetry(exchange.service);
  };

  const call = async (exchange: Exchange): Promise<void> => {
    const model = exchange.facts.model;
    const given = exchange.facts.lastEventId;
    const state: StreamState = {
      tried: new Set(),
      attempts: 0,
      unreached: 0,
      server: undefined,
      exposure: 'not-run',
      lastId: given === undefined ? undefined : Number(given),
      hasStarted: false,
      waitedMs: 0,
      firstEventAt: undefined,
      reason: 'no group of the model has room',
    };
    if (model === undefined) {
      endUnanswered(ctx, exchange, {
        exposure: 'not-run',
        reason: 'the request names no model',
        attempts: 0,
      });
      return;
    }
    retries.noteRequest(exchange.service);
    deps.arrivals.note(model);
    for (;;) {
      const group = await findGroup(exchange, model, state);
      if (!group) break;
      state.tried.add(group.head.id);
      state.server = group.head.id;
      const ended = await attempt({ ...deps, times }, exchange, group, state);
      if (ended === 'not-sent') state.unreached += 1;
      else state.attempts += 1;
      if (ended === 'complete' || ended === 'passed-on') {
        const status = exchange.res.statusCode;
        const { attempts } = state;
        const server = group.head.id;
        logRequestEnd(ctx, exchange, {
          outcome: 'served',
          status,
          attempts,
          server,
          ...timesOf(exchange, state),
        });
        return;
      }
      const { reason } = state;
      logFailedAttempt(ctx, exchange, { server: group.head.id, group: group.id, ended, reason });
      if (ended === 'lost') state.exposure = 'unknown';
      if (ended === 'caller-gone' || !mayGoOn(exchange, state, ended)) break;
    }
    endWithoutAnswer(deps, exchange, state);
  };

  return { call };
}

function timesOf({ arrivedAt }: Exchange, { waitedMs, firstEventAt }: StreamState): StreamTimes {
  return {
    waitedMs: Math.round(waitedMs),
    ...(firstEventAt !== undefined && { firstEventMs: Math.round(firstEventAt - arrivedAt) }),
  };
}

/** Why a group could not be found and when to come back, where that is known. */
function whyUnplaced(
  board: GroupRegistry,
  { service, facts: { model } }: Exchange,
): { readonly reason: string; readonly retryAfter: RetryAfter } | undefined {
  if (model === undefined || !board.hasOpenGroup(service, model)) {
    return { reason: 'no group serves the model', retryAfter: RETRY_AFTER_UNSERVED };
  }
  const takesInMs = board.msUntilAccepted(service, model);
  if (takesInMs === 0) return undefined;
  return {
    reason: 'the groups of the model take no more now',
    retryAfter: retryAfterDelay(takesInMs),
  };
}

function endWithoutAnswer(
  { ctx, board }: StreamDeps,
  exchange: Exchange,
  state: StreamState,
): void {
  const { attempts, exposure, server, reason } = state;
  const { res, gone } = exchange;
  const times = timesOf(exchange, state);
  if (gone.aborted) {
    logRequestEnd(ctx, exchange, {
      outcome: 'caller-gone',
      status: 0,
      attempts,
      reason,
      ...(server !== undefined && { server }),
      ...times,
    });
    return;
  }
  if (!state.hasStarted) {
    const unplaced = whyUnplaced(board, exchange);
    endUnanswered(ctx, exchange, {
      exposure,
      reason: attempts === 0 ? (unplaced?.reason ?? reason) : reason,
      attempts,
      times,
      ...(unplaced && { retryAfter: unplaced.retryAfter }),
    });
    return;
  }
  // The caller must not take what it has for a whole answer.
  res.destroy();
  const status = res.statusCode;
  logRequestEnd(ctx, exchange, { outcome: 'torn', status, attempts, reason, ...times });
}

/** Sends the request to one group and passes its events on. */
async function attempt(
  deps: StreamDeps & { readonly times: RouteTimes },
  exchange: Exchange,
  group: ServingGroup,
  state: StreamState,
): Promise<AttemptResult> {
  const { ctx, board, upstream, dialect, throttle: allowances } = deps;
  const { head } = group;
  const stop = new AbortController();
  const now = ctx.clock.now();
  const place: Slot = { sentAt: now, prefilledAt: undefined };
  const end = later(exchange.answerBy, 0);
  const limit = setTimeout(
    () => {
      stop.abort(new Error('no time left'));
    },
    Math.max(1, end - now),
  );
  const onGone = (): void => {
    stop.abort(new Error('caller gone'));
  };
  exchange.gone.addEventListener('abort', onGone, { once: true });
  const stalls = merge(board.stalls, board.evacuated).subscribe((stall) => {
    if (stall.head === head.id) stop.abort(new Error('group stands still'));
  });
  try {
    const organisation = organisationNameOf(exchange.caller);
    const { method = 'POST', url = '/', rawHeaders } = exchange.req;
    const sent = await upstream.send({
      address: head.address,
      method,
      path: url,
      headers: dialect.forward(rawHeaders, {
        server: head.name,
        leftMs: end - now,
        bodyBytes: exchange.body.length,
        ...(organisation !== undefined && { organisation }),
        ...(state.lastId !== undefined && { lastEventId: String(state.lastId) }),
      }),
      body: exchange.body,
      ownConnection: false,
      signal: stop.signal,
      beforeSend: () => {
        if (ctx.clock.now() >= end) return fail('deadline-exceeded', 'too late', { step: 'send' });
        return allowances.isBackingOff(head.id) ? backoffError() : undefined;
      },
    });
    if (sent.kind !== 'answered') {
      state.reason = abortReason(stop.signal, sent.error.message);
      if (exchange.gone.aborted) return 'caller-gone';
      if (sent.kind === 'lost') return 'lost';
      if (sent.error.code === 'unavailable' && !stop.signal.aborted) {
        board.noteUnreachable({ group: group.id, head: head.id }, state.reason);
      }
      return 'not-sent';
    }
    return await relay({
      deps,
      exchange,
      group,
      state,
      answered: sent,
      stop: stop.signal,
      slot: place,
    });
  } finally {
    clearTimeout(limit);
    exchange.gone.removeEventListener('abort', onGone);
    stalls.unsubscribe();
    giveBack(deps, exchange, head.id, place);
  }
}

function giveBack(
  { ctx, board, times }: StreamDeps & { readonly times: RouteTimes },
  { route, facts }: Exchange,
  head: InstanceId,
  { sentAt, prefilledAt: readAt }: Slot,
): void {
  if (readAt === undefined) {
    board.noteEnded(head, facts.promptTokens);
    return;
  }
  const holdMs = ctx.clock.now() - sentAt;
  times.noteHold(route, holdMs);
  times.noteFirstEvent(route, readAt - sentAt);
  board.noteEnded(head, 0, holdMs);
}
