/** Sends orders to servers, and again while they have no visible effect. */

import { later } from '../../ids';
import type { MonoTime } from '../../ids';
import type { OrderResult, ServerOrder } from '../orders';
import type { BackendServer } from '../types';
import type { Draft, SentOrder } from './state';

/** `round`: tells orders apart that end the same group at different times. */
function keyOf(server: BackendServer, order: ServerOrder, round?: MonoTime): string {
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
    draft.sentOrders.set(key, { at: draft.now, sends: (sent?.sends ?? 0) + 1 });
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
