/** The ways in which a stream ends without a complete answer. */

import type { ModelId, ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';
import {
  endQuarantined,
  endUnanswered,
  logRequestEnd,
  RETRY_AFTER_UNSERVED,
  retryAfterDelay,
} from './exchange';
import type { Exchange, RetryAfter, StreamEnd } from './exchange';
import type { GroupRegistry } from './group-registry';
import type { Quarantine } from './quarantine/quarantine';
import type { StreamState } from './stream-relay';
import type { ServerLinkWatch } from './server-links';
import { closeUnanswered } from './unanswered';

export interface StreamEndDeps {
  readonly ctx: GatewayContext;
  readonly groupRegistry: GroupRegistry;
  readonly quarantine: Pick<Quarantine, 'standing'>;
  readonly serverLinks: Pick<ServerLinkWatch, 'isUnreached'>;
}

/** Where the time of the stream was spent and what happened to its group, for its log line. */
export function streamEndOf(
  { arrivedAt }: Exchange,
  { waitedMs, firstEventAt, server, trace, lacked, framing }: StreamState,
): StreamEnd {
  return {
    ...(server !== undefined && { server }),
    ...trace,
    ...(lacked !== undefined && { lacked }),
    ...(framing !== undefined && { framing }),
    waitedMs: Math.round(waitedMs),
    ...(firstEventAt !== undefined && { firstEventMs: Math.round(firstEventAt - arrivedAt) }),
  };
}

/** Whether the model has groups, and neither this daemon nor a peer reaches the head of any. */
export function isModelUnreached(
  { groupRegistry, serverLinks }: Pick<StreamEndDeps, 'groupRegistry' | 'serverLinks'>,
  service: ServiceId,
  model: ModelId,
): boolean {
  const heads = groupRegistry.unreachableHeads(service, model);
  return heads.length > 0 && heads.every((address) => serverLinks.isUnreached(address));
}

/** Why no slot was found and when to retry, if known. */
function explainNoSlot(
  deps: Pick<StreamEndDeps, 'groupRegistry' | 'serverLinks'>,
  { service, facts: { model } }: Exchange,
): { readonly reason: string; readonly retryAfter: RetryAfter } | undefined {
  const { groupRegistry } = deps;
  if (model === undefined || !groupRegistry.hasOpenGroup(service, model)) {
    const isEvacuated = model !== undefined && groupRegistry.isModelEvacuated(service, model);
    const reason = isEvacuated
      ? 'all groups of the model are in evacuated zones'
      : 'no group serves the model';
    return { reason, retryAfter: RETRY_AFTER_UNSERVED };
  }
  if (isModelUnreached(deps, service, model)) {
    const reason = 'no group of the model is reached, neither directly nor through a peer';
    return { reason, retryAfter: RETRY_AFTER_UNSERVED };
  }
  const acceptedInMs = groupRegistry.msUntilAccepted(service, model);
  if (acceptedInMs === 0) return undefined;
  return {
    reason: 'all groups of the model are rate-limited or backing off',
    retryAfter: retryAfterDelay(acceptedInMs),
  };
}

/** Ends a stream that no group served completely. */
export function endFailedStream(deps: StreamEndDeps, exchange: Exchange, state: StreamState): void {
  const { ctx, quarantine } = deps;
  const { attempts, exposure, reason } = state;
  const { res, gone: callerSignal } = exchange;
  const details = streamEndOf(exchange, state);
  if (state.lacked !== undefined)
    ctx.metrics.count('nutmegstack_streams_not_resumed_total', { lacked: state.lacked });
  if (callerSignal.aborted) {
    logRequestEnd(ctx, exchange, {
      outcome: 'caller-gone',
      status: 0,
      attempts,
      reason,
      ...details,
    });
    return;
  }
  const standing = quarantine.standing(exchange);
  if (!state.hasStarted && (standing === 'held' || standing === 'refused')) {
    endQuarantined(ctx, exchange, standing, { exposure, attempts, details });
    return;
  }
  if (!state.hasStarted) {
    const noSlot = explainNoSlot(deps, exchange);
    endUnanswered(ctx, exchange, {
      exposure,
      reason: attempts === 0 ? (noSlot?.reason ?? reason) : reason,
      attempts,
      details,
      ...(noSlot && { retryAfter: noSlot.retryAfter }),
    });
    return;
  }
  // The caller must not take the partial answer for a complete one.
  closeUnanswered(res, reason);
  const status = res.statusCode;
  logRequestEnd(ctx, exchange, { outcome: 'torn', status, attempts, reason, ...details });
}
