/** The reducer of daemon membership: failure detection, gossip and anti-entropy. */

import type { ConfigVersion } from '../ids';
import { brandAs } from '../ids';
import { createReducer, next } from '../reducer';
import { memberEntry } from './members';
import {
  checkProbe,
  expireRelayedProbes,
  expireSuspects,
  resetAfterPause,
  handleUnreachable,
  probeNext,
  handleAck,
  handleNack,
  handleRelay,
} from './probing';
import { announce, flush, handleEntries, broadcast } from './dissemination';
import { chain, send, unchanged } from './state';
import type { MembershipState, MembershipStep } from './state';
import {
  syncSender,
  rejoinNext,
  sweepExpired,
  syncNext,
  handleDigest,
  handleLines,
  handleWant,
} from './sync';
import { refill, spend } from './token-bucket';
import type { Entry, MembershipContext, MembershipEffect, MembershipEvent, Message } from './types';

type MessageHandlers = {
  readonly [K in Message['kind']]: (
    state: MembershipState,
    event: { readonly address: string; readonly from: MembershipState['self']['id'] },
    message: Extract<Message, { kind: K }>,
    ctx: MembershipContext,
  ) => MembershipStep;
};

const MESSAGE_HANDLERS: MessageHandlers = {
  probe: (state, { from, address }, { seq }, ctx) =>
    chain(
      state,
      (current) => next(current, send(address, { kind: 'ack', seq })),
      (current) => syncSender(current, from, address, ctx),
    ),
  ack: (state, _, { seq }) => handleAck(state, seq),
  nack: (state, _, { seq }) => handleNack(state, seq),
  relay: (state, { address }, message, ctx) => handleRelay(state, address, message, ctx),
  entries: (state, { from }, { entries }, ctx) => handleEntries(state, entries, from, ctx),
  digest: (state, { from, address }, message, ctx) =>
    chain(
      state,
      (current) => handleDigest(current, address, message, ctx),
      (current) =>
        current.members.has(from) ? syncSender(current, from, address, ctx) : unchanged(current),
    ),
  lines: (state, { address }, message, ctx) => handleLines(state, address, message, ctx),
  want: (state, { address }, message, ctx) => handleWant(state, address, message, ctx),
};

function handleMessage(
  state: MembershipState,
  event: Extract<MembershipEvent, { kind: 'message' }>,
  ctx: MembershipContext,
): MembershipStep {
  const handler = MESSAGE_HANDLERS[event.message.kind] as MessageHandlers['probe'];
  return handler(state, event, event.message as never, ctx);
}

function detectPause(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const gapMs = ctx.now - state.lastTick;
  const ticked = { ...state, lastTick: ctx.now };
  if (gapMs <= ctx.settings.pauseThresholdMs) return next(ticked);
  // Fetches at once what was gossiped during the pause.
  return next({ ...resetAfterPause(ticked, gapMs), probeAt: ctx.now, syncAt: ctx.now });
}

function announceConfig(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const { configVersion } = state;
  if (configVersion === state.self.configVersion || ctx.now < state.announceAt) {
    return unchanged(state);
  }
  return announce(state, { configVersion }, ctx);
}

function tick(state: MembershipState, ctx: MembershipContext): MembershipStep {
  return chain(
    state,
    (current) => detectPause(current, ctx),
    (current) => next(sweepExpired(current, ctx)),
    (current) => checkProbe(current, ctx),
    (current) => expireRelayedProbes(current, ctx),
    (current) => expireSuspects(current, ctx),
    (current) => probeNext(current, ctx),
    (current) => announceConfig(current, ctx),
    (current) => flush(current, ctx),
    (current) => syncNext(current, ctx),
    (current) => rejoinNext(current, ctx),
  );
}

function publish(
  state: MembershipState,
  event: Extract<MembershipEvent, { kind: 'publish' }>,
  ctx: MembershipContext,
): MembershipStep {
  const { topic, key, value, expiresAt } = event;
  // Above all versions of an earlier process, unless the clock went back further than it ran.
  const version = Math.max(Math.floor(ctx.epoch), state.lastVersion + 1);
  const entry: Entry = { topic, key, origin: state.self.id, version, value, expiresAt };
  return broadcast({ ...state, lastVersion: version }, entry, ctx);
}

function leave(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (state.self.state === 'leaving') return unchanged(state);
  const announced = announce(state, { state: 'leaving' }, ctx);
  const entries = [memberEntry(announced.state.self)];
  // The announcement goes to all neighbours at once, regardless of the byte limit.
  const announcements: MembershipEffect[] = state.neighbours.flatMap((id) => {
    const address = state.members.get(id)?.address;
    return address === undefined ? [] : [send(address, { kind: 'entries', entries })];
  });
  return next(announced.state, ...announced.effects, ...announcements);
}

/** Handles one event; events and effects are described in `types.ts`. */
export const reduceMembership = createReducer<
  MembershipState,
  MembershipEvent,
  MembershipEffect,
  MembershipContext
>({
  tick: (state, _, ctx) => tick(state, ctx),
  message: handleMessage,
  unreachable: (state, { address }, ctx) => handleUnreachable(state, address, ctx),
  candidates: (state, { addresses }) => next({ ...state, candidates: addresses }),
  publish,
  'config-version': (state, { version }) =>
    next({ ...state, configVersion: brandAs<ConfigVersion>(version) }),
  spent: (state, { bytes }, ctx) => {
    const bucket = refill(state.bucket, ctx.settings, ctx.now);
    return next({ ...state, bucket: spend(bucket, bytes) });
  },
  leave: (state, _, ctx) => leave(state, ctx),
});
