/**
 * Proxies a stream from a replica group. Only whole events are forwarded. An interrupted stream is
 * resumed at another group after its last event, within the same answer, if its route allows this.
 */

import type { WaitingRequest } from '../../core/gateway/waiting-order';
import { later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import type { ServingGroup } from './group-index';
import { endUnanswered, logRequestEnd } from './exchange';
import type { Exchange } from './exchange';
import { takeSlot } from './take-slot';
import type { SlotDeps } from './take-slot';
import type { Quarantine } from './quarantine/quarantine';
import type { Retries } from './retries';
import type { ServerLinkWatch } from './server-links';
import { createRouteTimes } from './route-times';
import type { AttemptDeps } from './stream-attempt';
import { MAX_UNREACHABLE_HEADS } from './stream-move';
import type { SlotSource } from './stream-move';
import { endFailedStream, isModelUnreached, streamEndOf } from './stream-end';
import type { StreamEndDeps } from './stream-end';
import type { AttemptResult, StreamState } from './stream-relay';
import { runStream } from './stream-runs';
import type { Lack } from './stream-trace';
import type { Waiter } from './wait-queue';

/**
 * A group that lost a member is formed again from warm servers in little more than half a second.
 */
const UNSERVED_WAIT_MS = 700;
/** From the end of a group, which the leader has to notice first, until the next one serves. */
const REFORMED_WAIT_MS = 1_500;
const NONE_AVOIDED: ReadonlySet<InstanceId> = new Set();

export interface StreamDeps extends Omit<AttemptDeps, 'times'>, SlotDeps {
  readonly retries: Retries;
  readonly quarantine: Quarantine;
  readonly serverLinks: StreamEndDeps['serverLinks'] & Pick<ServerLinkWatch, 'isUnreachable'>;
}

export interface StreamCalls {
  call(exchange: Exchange): Promise<void>;
}

export function createStreamCalls(deps: StreamDeps): StreamCalls {
  const { ctx, groupRegistry, retries, quarantine } = deps;
  const times = createRouteTimes();

  const isQuarantined = (exchange: Exchange): boolean => {
    const standing = quarantine.standing(exchange);
    return standing === 'held' || standing === 'refused';
  };

  /** Whether its answer, which no server has begun, might be cut by the end of the daemon. */
  const mayBeCut = (exchange: Exchange, { exposure }: StreamState): boolean =>
    exposure === 'not-run' && exchange.isTooLate?.() === true;

  /** When the request needs a slot to be on time; for a stream that has begun, any wait is late. */
  const onTimeUntil = ({ arrivedAt, route, answerBy }: Exchange, state: StreamState): MonoTime =>
    state.hasStarted ? answerBy : later(arrivedAt, times.slackMs(route));

  const tryTakeSlot = (
    exchange: Exchange,
    model: ModelId,
    state: StreamState,
    avoided: ReadonlySet<InstanceId> = NONE_AVOIDED,
  ): ServingGroup | undefined => {
    const { service, route, facts } = exchange;
    if (isQuarantined(exchange) || mayBeCut(exchange, state)) return undefined;
    return takeSlot(deps, {
      service,
      model,
      promptTokens: facts.promptTokens,
      maxPauseMs: route.maxPauseMs,
      tried: state.tried,
      slackMs: times.slackMs(route),
      isLate: ctx.clock.now() >= onTimeUntil(exchange, state),
      narrow: (groups) =>
        quarantine.allowed(
          exchange,
          groups.filter(({ head }) => !avoided.has(head)),
        ),
    });
  };

  /**
   * If no group serves the model, the wait is short and the caller is asked to retry later, as a
   * longer wait would likely be in vain. It begins anew for a request that lost the last group.
   */
  const waitUntil = (exchange: Exchange, model: ModelId, state: StreamState): MonoTime => {
    if (state.hasStarted) return exchange.answerBy;
    const { lostAt, tried } = state;
    // The end of a group shows in its connections before it is known.
    const lost = lostAt === undefined ? undefined : tried;
    if (groupRegistry.hasOpenGroup(exchange.service, model, lost)) return exchange.slotBy;
    const unservedUntil =
      lostAt === undefined
        ? later(exchange.arrivedAt, UNSERVED_WAIT_MS)
        : later(lostAt, REFORMED_WAIT_MS);
    const until = lostAt === undefined ? exchange.slotBy : exchange.answerBy;
    return unservedUntil < until ? unservedUntil : until;
  };

  /** The place of the request among those that wait for a slot. */
  const placeOf = (
    exchange: Exchange,
    model: ModelId,
    state: StreamState,
  ): WaitingRequest & Pick<Waiter, 'model'> => ({
    model,
    priority: exchange.priority,
    arrivedAt: exchange.arrivedAt,
    onTimeUntil: onTimeUntil(exchange, state),
    holdMs: times.holdMs(exchange.route),
  });

  const slotsFor = (exchange: Exchange, model: ModelId, state: StreamState): SlotSource => ({
    place: () => ({ ...placeOf(exchange, model, state), isRetry: true, hasSlot: true }),
    // Servers may pause together: a stream is not moved to a group that is silent as well.
    take: () => {
      const unreached = [...state.unreachedUntil].filter(([, until]) => ctx.clock.now() < until);
      const avoided = [...groupRegistry.silentHeads(), ...unreached.map(([head]) => head)];
      return tryTakeSlot(exchange, model, state, new Set(avoided));
    },
  });

  /** Whether the model has groups, and none of them can be sent to before an operator or the links change that. */
  const isModelOutOfReach = (service: ServiceId, model: ModelId): boolean =>
    isModelUnreached(deps, service, model) || groupRegistry.isModelEvacuated(service, model);

  /** Takes a slot in a group, if necessary after waiting in the queue. */
  const findGroup = async (
    exchange: Exchange,
    model: ModelId,
    state: StreamState,
  ): Promise<ServingGroup | undefined> => {
    const found = tryTakeSlot(exchange, model, state);
    if (found) return found;
    const isUnservable = (): boolean =>
      isQuarantined(exchange) ||
      mayBeCut(exchange, state) ||
      deps.serverLinks.isUnreachable(exchange.service) ||
      (!state.hasStarted && isModelOutOfReach(exchange.service, model));
    if (isUnservable()) return undefined;
    const since = ctx.clock.now();
    const until = waitUntil(exchange, model, state);
    const msUntilToken = (ahead: number): number =>
      groupRegistry.msUntilToken(exchange.service, model, ahead);
    if (later(since, msUntilToken(deps.waitQueue.count(model))) > until) return undefined;
    const group = await deps.waitQueue.wait({
      ...placeOf(exchange, model, state),
      until,
      gone: exchange.gone,
      isRetry: state.tried.size > 0,
      isUnservable,
      choose: () => tryTakeSlot(exchange, model, state),
      msUntilToken,
      areGroupsCold: () => groupRegistry.areGroupsCold(exchange.service, model),
    });
    state.waitedMs += ctx.clock.now() - since;
    return group;
  };

  /** What the stream lacks to be sent again; takes a retry from the budget if that is all it needs. */
  const lackedForRetry = (
    { route, service, answerBy }: Exchange,
    { attempts, unreached, hasStarted, hasRetry, lastId }: StreamState,
    result: AttemptResult,
  ): Lack | undefined => {
    if (ctx.clock.now() >= answerBy) return 'time';
    if (result === 'not-sent')
      return hasStarted || unreached < MAX_UNREACHABLE_HEADS ? undefined : 'attempt';
    if (attempts >= route.maxAttempts) return 'attempt';
    // Without the id of an event that the caller has, a further run would begin again at the first.
    const isResumable = route.isResumable && (!hasStarted || lastId !== undefined);
    if (result === 'lost' && !isResumable) return 'resume';
    return hasRetry || retries.mayRetry(service) ? undefined : 'retry';
  };

  const call = async (exchange: Exchange): Promise<void> => {
    const model = exchange.facts.model;
    const lastEventId = exchange.facts.lastEventId;
    const state: StreamState = {
      tried: new Set(),
      unreachedUntil: new Map(),
      attempts: 0,
      unreached: 0,
      server: undefined,
      exposure: 'not-run',
      lastId: lastEventId === undefined ? undefined : Number(lastEventId),
      hasStarted: false,
      waitedMs: 0,
      lostAt: undefined,
      firstEventAt: undefined,
      answeringMs: undefined,
      trace: undefined,
      framing: undefined,
      hasRetry: false,
      lacked: undefined,
      reason: 'no group of the model has free capacity',
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
      if (!group) {
        if (state.tried.size > 0) state.lacked = 'slot';
        break;
      }
      const slots = slotsFor(exchange, model, state);
      const result = await runStream({ ...deps, times }, { exchange, group, state, slots });
      if (result === 'complete' || result === 'passed-on') {
        const status = exchange.res.statusCode;
        const { attempts } = state;
        logRequestEnd(ctx, exchange, {
          outcome: 'served',
          status,
          attempts,
          ...streamEndOf(exchange, state),
        });
        return;
      }
      if (result === 'caller-gone' || exchange.gone.aborted) break;
      if (result === 'lost') state.lostAt = ctx.clock.now();
      const lacked = lackedForRetry(exchange, state, result);
      if (lacked !== undefined) {
        state.lacked ??= lacked;
        break;
      }
      state.lacked = undefined;
      state.hasRetry = false;
    }
    endFailedStream(deps, exchange, state);
  };

  return { call };
}
