/** Sends a stream to one group and forwards its events until the attempt ends. */

import type { Upstream } from '../../adapters/upstream/upstream';
import { organisationNameOf } from '../../core/gateway/routes';
import { brandAs, later } from '../../core/ids';
import type { DomainId, InstanceId } from '../../core/ids';
import { fail } from '../../utils/errors';
import type { EvacuatedZones } from './evacuations';
import { evacuatedError, heldBackError } from './exchange';
import type { Exchange } from './exchange';
import type { ServingGroup } from './group-index';
import type { Quarantine } from './quarantine/quarantine';
import type { RunTarget } from './quarantine/server-checks';
import type { RouteTimes } from './route-times';
import { watchForMove } from './stream-move';
import type { MoveDeps, SlotSource } from './stream-move';
import { abortReason, relay } from './stream-relay';
import type { RelayDeps, RelayEnd, RunControl, Slot, StreamState } from './stream-relay';
import { traceGroup } from './stream-trace';
import type { GroupTrace } from './stream-trace';
import { noteSent } from './unexpected';

export interface AttemptDeps extends RelayDeps, MoveDeps {
  readonly upstream: Pick<Upstream, 'send'>;
  readonly evacuations: EvacuatedZones;
  readonly quarantine: Pick<Quarantine, 'begin'>;
  readonly times: RouteTimes;
}

export interface AttemptOptions {
  readonly exchange: Exchange;
  readonly group: ServingGroup;
  readonly state: StreamState;
  /** Where it may go on if the group falls silent. */
  readonly slots: SlotSource;
  readonly run: RunControl;
}

/** How an attempt ended, and what its log lines say. */
export interface AttemptEnd extends RelayEnd {
  readonly trace: GroupTrace;
  /** Time from its first event to its end, milliseconds. */
  readonly answeringMs: number | undefined;
  /** Whether it was passed on by a peer, whose end may have been the reason. */
  readonly byPeer: boolean;
}

/** Sends the request to one group and forwards its events. */
export async function attempt(
  deps: AttemptDeps,
  { exchange, group, state, slots, run }: AttemptOptions,
): Promise<AttemptEnd> {
  const { ctx, groupRegistry, upstream, dialect, throttle, evacuations } = deps;
  const { head } = group;
  const { stop } = run;
  const now = ctx.clock.now();
  const slot: Slot = {
    sentAt: now,
    writtenAt: undefined,
    prefilledAt: undefined,
    lastEventAt: undefined,
    isHeld: false,
  };
  const watchedRun = deps.quarantine.begin(exchange, runTargetOf(group), slot);
  const sendUntil = later(exchange.answerBy, 0);
  const timer = setTimeout(
    () => {
      stop.abort(new Error('deadline reached'));
    },
    Math.max(1, sendUntil - now),
  );
  const onDisconnect = (): void => {
    stop.abort(new Error('caller disconnected'));
  };
  exchange.gone.addEventListener('abort', onDisconnect, { once: true });
  if (exchange.gone.aborted) onDisconnect();
  const move = watchForMove(deps, { exchange, group, state, slot, slots, run });
  /** Only a connection that neither this daemon nor the caller gave up was broken by the server. */
  const noteEnd = ({ result, reason }: RelayEnd, byPeer = false): AttemptEnd => {
    const { prefilledAt, lastEventAt } = slot;
    const traced = { group, finding: move.finding(), lastEventAt };
    const trace = traceGroup(groupRegistry, traced, ctx.clock.now());
    const answeringMs =
      prefilledAt === undefined ? undefined : Math.round(ctx.clock.now() - prefilledAt);
    const isBroken = result === 'lost' && !stop.signal.aborted;
    if (isBroken) watchedRun.broken();
    else watchedRun.ended(result === 'complete' || result === 'passed-on');
    return { result, reason, trace, answeringMs, byPeer };
  };
  try {
    const organisation = organisationNameOf(exchange.caller);
    const { method = 'POST', url = '/', rawHeaders } = exchange.req;
    const sent = await upstream.send({
      address: head.address,
      method,
      path: url,
      headers: dialect.forward(rawHeaders, {
        server: head.name,
        leftMs: sendUntil - now,
        bodyBytes: exchange.body.length,
        ...(organisation !== undefined && { organisation }),
        ...(state.lastId !== undefined && { lastEventId: String(state.lastId) }),
      }),
      body: exchange.body,
      ...(exchange.facts.requestId !== undefined && { requestId: exchange.facts.requestId }),
      ownConnection: false,
      signal: stop.signal,
      beforeSend: () => {
        if (ctx.clock.now() >= sendUntil)
          return fail('deadline-exceeded', 'deadline reached before sending', { step: 'send' });
        if (evacuations.isEvacuated(head.zone)) return evacuatedError();
        if (!throttle.maySend(head.id)) return heldBackError(throttle.isBackingOff(head.id));
        slot.writtenAt = ctx.clock.now();
        noteSent(exchange.res);
        return undefined;
      },
    });
    if (sent.kind !== 'answered') {
      if (sent.kind === 'not-sent') throttle.returnToken(head.id);
      const reason = abortReason(stop.signal, sent.error.message);
      if (exchange.gone.aborted) return noteEnd({ result: 'caller-gone', reason });
      if (sent.kind === 'lost') return noteEnd({ result: 'lost', reason }, sent.byPeer);
      if (sent.error.code === 'unavailable' && !stop.signal.aborted) {
        groupRegistry.noteUnreachable({ group: group.id, head: head.id }, reason);
      }
      return noteEnd({ result: 'not-sent', reason });
    }
    const onEvent = (): void => {
      move.noteEvent();
    };
    const answer = { deps, exchange, group, state, answered: sent, run, slot };
    return noteEnd(await relay({ ...answer, onEvent }), sent.byPeer);
  } catch (err) {
    watchedRun.ended(false);
    throw err;
  } finally {
    clearTimeout(timer);
    exchange.gone.removeEventListener('abort', onDisconnect);
    move.end();
    releaseSlot(deps, exchange, head.id, slot);
  }
}

function releaseSlot(
  { ctx, groupRegistry, times }: AttemptDeps,
  { route, facts }: Exchange,
  head: InstanceId,
  { sentAt, prefilledAt }: Slot,
): void {
  if (prefilledAt === undefined) {
    groupRegistry.noteEnded(head, facts.promptTokens);
    return;
  }
  const holdMs = ctx.clock.now() - sentAt;
  times.noteHold(route, holdMs);
  times.noteFirstEvent(route, prefilledAt - sentAt);
  groupRegistry.noteEnded(head, 0, holdMs);
}

function runTargetOf({ id, head }: ServingGroup): RunTarget {
  const { id: server, address, domain = brandAs<DomainId>(server) } = head;
  return { server, address, group: id, domain };
}
