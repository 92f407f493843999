/** Sends orders to servers, and again while they have no visible effect. */

import { later } from '../../ids';
import type { MonoTime } from '../../ids';
import type {
  CloseOrder,
  JoinOrder,
  LeaveOrder,
  OpenOrder,
  OrderResult,
  ServerOrder,
  StageOrder,
} from '../orders';
import type { BackendServer } from '../types';
import type { Draft, SentOrder } from './state';

/** What tells one order to a server from another. */
type OrderIdentity =
  | Pick<StageOrder, 'kind' | 'model'>
  | Pick<CloseOrder, 'kind' | 'group' | 'epoch' | 'mode'>
  | Pick<JoinOrder | OpenOrder | LeaveOrder, 'kind' | 'group' | 'epoch'>;

/** `round`: tells orders apart that end the same group at different times. */
function keyOf(server: BackendServer, order: OrderIdentity, round?: MonoTime): string {
  const subject = order.kind === 'stage' ? order.model : `${order.group}/${order.epoch}`;
  const mode = order.kind === 'close' ? order.mode : '';
  const key = `${order.kind}${mode} ${subject} ${server.id}`;
  return round === undefined ? key : `${key} ${round}`;
}

/** When the order may be sent again. */
function resendAt({ settings }: Draft, { at, sends }: SentOrder): MonoTime {
  const { resendMs, maxResendMs, fastResends } = settings;
  const doublings = Math.max(0, sends - fastResends);
  return later(at, Math.min(maxResendMs, resendMs * 2 ** doublings));
}

/** Sendings that may still be carried out. */
function unsettledOf({ now, settings }: Draft, { at, unsettled }: SentOrder): number {
  return now < later(at, settings.lateOrderMs) ? unsettled : 0;
}

/**
 * Sends an order, unless it was sent too recently to be repeated, and returns the last known result.
 * Orders without a visible effect are sent again; all of them are idempotent.
 */
export function sendOrder(
  draft: Draft,
  server: BackendServer,
  order: ServerOrder,
  round?: MonoTime,
): OrderResult | undefined {
  const key = keyOf(server, order, round);
  const sent = draft.sentOrders.get(key);
  if (!sent || draft.now >= resendAt(draft, sent)) {
    const unsettled = sent ? unsettledOf(draft, sent) : 0;
    const sends = (sent?.sends ?? 0) + 1;
    draft.sentOrders.set(key, { at: draft.now, sends, unsettled: unsettled + 1 });
    draft.effects.push({ key, server, order });
  }
  return sent?.result;
}

/** The last known result of an order. */
export function lastResult(
  draft: Draft,
  server: BackendServer,
  order: ServerOrder,
  round?: MonoTime,
): OrderResult | undefined {
  return draft.sentOrders.get(keyOf(server, order, round))?.result;
}

/** Until when a sending of the order that was not answered may be carried out; undefined if there is none. */
export function pendingUntil(
  draft: Draft,
  server: BackendServer,
  order: OrderIdentity,
): MonoTime | undefined {
  const sent = draft.sentOrders.get(keyOf(server, order));
  return sent && unsettledOf(draft, sent) > 0
    ? later(sent.at, draft.settings.lateOrderMs)
    : undefined;
}

/** The order with the result of one of its sendings. */
export function withResult(sent: SentOrder, result: OrderResult): SentOrder {
  const isSettled = result !== 'unknown';
  return { ...sent, result, unsettled: Math.max(0, sent.unsettled - (isSettled ? 1 : 0)) };
}
