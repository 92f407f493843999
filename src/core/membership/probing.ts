/**
 * Failure detection after SWIM (Das, Gupta, Motivala, 2002): each period one neighbour is probed;
 * one that does not answer is probed through others; only then is it suspected, and only a suspect
 * that does not speak up in time is dead. A daemon that hears neither the target nor any of those
 * it asked doubts itself first (after Lifeguard, Dadgar, Phillips, Currey, 2018).
 */

import type { DaemonId, MonoTime } from '../ids';
import { later } from '../ids';
import { next } from '../reducer';
import { failedMemberEntry } from './members';
import { broadcast } from './dissemination';
import { chain, presentOthers, sample, send, unchanged } from './state';
import type { MembershipState, MembershipStep, Probe } from './state';
import type { MembershipContext, MembershipEffect } from './types';

/** Probes in a row without anyone's answer after which the target is suspected all the same. */
const MOST_DOUBTS = 2;

function startProbe(
  state: MembershipState,
  target: DaemonId,
  ctx: MembershipContext,
): MembershipStep {
  const address = state.members.get(target)?.address;
  if (address === undefined) return unchanged(state);
  const seq = state.seq + 1;
  const probe: Probe = {
    target,
    address,
    seq,
    directUntil: later(ctx.now, ctx.settings.probeTimeoutMs),
    until: later(ctx.now, ctx.settings.probeIntervalMs),
    relayed: false,
    confirmed: false,
  };
  return next({ ...state, seq, probe }, send(address, { kind: 'probe', seq }));
}

/** Probes the neighbour whose turn it is. */
export function probeNext(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (state.probe || ctx.now < state.probeAt || state.neighbours.length === 0) {
    return unchanged(state);
  }
  const turn = (state.turn + 1) % state.neighbours.length;
  const target = state.neighbours[turn];
  const turned = { ...state, turn, probeAt: later(ctx.now, ctx.settings.probeIntervalMs) };
  return target === undefined ? unchanged(turned) : startProbe(turned, target, ctx);
}

/** Asks others to probe the target; the link to it is made anew. */
function relayProbe(state: MembershipState, probe: Probe, ctx: MembershipContext): MembershipStep {
  const others = presentOthers(state).filter((member) => member.id !== probe.target);
  const asked = sample(others, ctx.settings.relays, ctx.random);
  const { seq, address } = probe;
  const effects: MembershipEffect[] = asked.map((member) =>
    send(member.address, { kind: 'relay', seq, target: address }),
  );
  // With nobody to ask there is nobody who could confirm.
  const relayed = { ...probe, relayed: true, confirmed: asked.length === 0 };
  return next({ ...state, probe: relayed }, { kind: 'drop', address }, ...effects);
}

/** The target has fallen in the eyes of this daemon. */
function suspect(state: MembershipState, target: DaemonId, ctx: MembershipContext): MembershipStep {
  const member = state.members.get(target);
  if (!member || member.state === 'dead' || member.state === 'suspect') return unchanged(state);
  // A daemon that was leaving has left.
  const fallen = member.state === 'leaving' ? 'dead' : 'suspect';
  return broadcast(
    state,
    failedMemberEntry(member, fallen, ctx.epoch, ctx.settings.deadTtlMs),
    ctx,
  );
}

function endProbe(state: MembershipState, probe: Probe, ctx: MembershipContext): MembershipStep {
  const doubts = new Map(state.doubts);
  const doubt = (doubts.get(probe.target) ?? 0) + 1;
  const certain = probe.confirmed || doubt >= MOST_DOUBTS;
  if (certain) doubts.delete(probe.target);
  else doubts.set(probe.target, doubt);
  const ended = { ...state, probe: undefined, doubts };
  return certain ? suspect(ended, probe.target, ctx) : probeAgain(ended, probe.target, ctx);
}

function probeAgain(
  state: MembershipState,
  target: DaemonId,
  ctx: MembershipContext,
): MembershipStep {
  return startProbe(
    { ...state, probeAt: later(ctx.now, ctx.settings.probeIntervalMs) },
    target,
    ctx,
  );
}

/** Goes on with the probe whose answer is late. */
export function checkProbe(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const { probe } = state;
  if (!probe) return unchanged(state);
  if (ctx.now >= probe.until) return endProbe(state, probe, ctx);
  if (!probe.relayed && ctx.now >= probe.directUntil) return relayProbe(state, probe, ctx);
  return unchanged(state);
}

/** Tells those who asked that a relayed probe had no answer. */
export function expireRelayedProbes(
  state: MembershipState,
  ctx: MembershipContext,
): MembershipStep {
  const late = state.relayed.filter((relay) => ctx.now >= relay.until);
  if (late.length === 0) return unchanged(state);
  const relayed = state.relayed.filter((relay) => ctx.now < relay.until);
  const nacks = late.map((relay) => send(relay.askedBy, { kind: 'nack', seq: relay.askedSeq }));
  return next({ ...state, relayed }, ...nacks);
}

/** Declares dead whoever was suspected long enough. */
export function expireSuspects(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const over = [...state.suspects].filter(([, until]) => ctx.now >= until);
  const steps = over.map(([id]) => (current: MembershipState) => {
    const member = current.members.get(id);
    if (member?.state !== 'suspect') return unchanged(current);
    return broadcast(
      current,
      failedMemberEntry(member, 'dead', ctx.epoch, ctx.settings.deadTtlMs),
      ctx,
    );
  });
  return chain(state, ...steps);
}

export function handleAck(state: MembershipState, seq: number): MembershipStep {
  const relay = state.relayed.find((candidate) => candidate.seq === seq);
  if (relay) {
    const relayed = state.relayed.filter((candidate) => candidate !== relay);
    return next({ ...state, relayed }, send(relay.askedBy, { kind: 'ack', seq: relay.askedSeq }));
  }
  if (state.probe?.seq !== seq) return unchanged(state);
  const doubts = new Map(state.doubts);
  doubts.delete(state.probe.target);
  return next({ ...state, probe: undefined, doubts });
}

export function handleNack(state: MembershipState, seq: number): MembershipStep {
  const { probe } = state;
  if (probe?.seq !== seq) return unchanged(state);
  return next({ ...state, probe: { ...probe, confirmed: true } });
}

/** Probes `target` for the daemon at `askedBy`. */
export function handleRelay(
  state: MembershipState,
  askedBy: string,
  asked: { readonly seq: number; readonly target: string },
  ctx: MembershipContext,
): MembershipStep {
  const seq = state.seq + 1;
  const until = later(ctx.now, ctx.settings.probeTimeoutMs);
  const relay = { seq, askedBy, askedSeq: asked.seq, until };
  const relayed = [...state.relayed, relay];
  return next({ ...state, seq, relayed }, send(asked.target, { kind: 'probe', seq }));
}

/** A link broke or could not be made: the member there is probed at once, through others. */
export function handleUnreachable(
  state: MembershipState,
  address: string,
  ctx: MembershipContext,
): MembershipStep {
  const { probe } = state;
  if (probe?.address === address) {
    return probe.relayed ? unchanged(state) : relayProbe(state, probe, ctx);
  }
  if (probe) return unchanged(state);
  const member = presentOthers(state).find((other) => other.address === address);
  if (!member || member.state === 'suspect') return unchanged(state);
  return probeAgain(state, member.id, ctx);
}

/** After a pause of the process nothing that seemed late is held against anyone. */
export function resetAfterPause(state: MembershipState, gapMs: number): MembershipState {
  const suspects = new Map<DaemonId, MonoTime>();
  for (const [id, until] of state.suspects) suspects.set(id, later(until, gapMs));
  return { ...state, suspects, probe: undefined, relayed: [], doubts: new Map() };
}
