/**
 * Failure detection after SWIM (Das, Gupta, Motivala, 2002): each interval one neighbour is probed;
 * if it does not answer, it is probed through others; only then is it suspected, and only a suspect
 * that does not refute in time is declared dead. A daemon that receives no answer from the target
 * or from any relay first suspects itself (after Lifeguard, Dadgar, Phillips, Currey, 2018).
 */

import type { DaemonId, MonoTime } from '../ids';
import { later } from '../ids';
import { next } from '../reducer';
import { failedMemberEntry } from './members';
import { broadcast } from './dissemination';
import { chain, presentOthers, sample, send, unchanged } from './state';
import type { MembershipState, MembershipStep, Probe } from './state';
import type { MembershipContext, MembershipEffect } from './types';

/** Consecutive probes without any answer, even from a relay, after which the target is suspected. */
const MAX_UNCONFIRMED_FAILURES = 2;

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

/** Probes the next neighbour, in round-robin order. */
export function probeNext(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (state.probe || ctx.now < state.probeAt || state.neighbours.length === 0) {
    return unchanged(state);
  }
  const neighbourIndex = (state.neighbourIndex + 1) % state.neighbours.length;
  const target = state.neighbours[neighbourIndex];
  const advanced = {
    ...state,
    neighbourIndex,
    probeAt: later(ctx.now, ctx.settings.probeIntervalMs),
  };
  return target === undefined ? unchanged(advanced) : startProbe(advanced, target, ctx);
}

/** Asks other daemons to probe the target, and closes the connection to it to open a new one. */
function relayProbe(state: MembershipState, probe: Probe, ctx: MembershipContext): MembershipStep {
  const others = presentOthers(state).filter((member) => member.id !== probe.target);
  const relays = sample(others, ctx.settings.relays, ctx.random);
  const { seq, address } = probe;
  const effects: MembershipEffect[] = relays.map((member) =>
    send(member.address, { kind: 'relay', seq, target: address }),
  );
  // Without any relay no other daemon could confirm the failure.
  const relayed = { ...probe, relayed: true, confirmed: relays.length === 0 };
  return next({ ...state, probe: relayed }, { kind: 'drop', address }, ...effects);
}

/** Declares the target suspect, or dead if it was leaving. */
function reportFailure(
  state: MembershipState,
  target: DaemonId,
  ctx: MembershipContext,
): MembershipStep {
  const member = state.members.get(target);
  if (!member || member.state === 'dead' || member.state === 'suspect') return unchanged(state);
  // A daemon that was leaving has stopped by now.
  const failedState = member.state === 'leaving' ? 'dead' : 'suspect';
  return broadcast(
    state,
    failedMemberEntry(member, failedState, ctx.epoch, ctx.settings.deadTtlMs),
    ctx,
  );
}

function endProbe(state: MembershipState, probe: Probe, ctx: MembershipContext): MembershipStep {
  const unconfirmedFailures = new Map(state.unconfirmedFailures);
  const failures = (unconfirmedFailures.get(probe.target) ?? 0) + 1;
  const isCertain = probe.confirmed || failures >= MAX_UNCONFIRMED_FAILURES;
  if (isCertain) unconfirmedFailures.delete(probe.target);
  else unconfirmedFailures.set(probe.target, failures);
  const ended = { ...state, probe: undefined, unconfirmedFailures };
  return isCertain ? reportFailure(ended, probe.target, ctx) : probeAgain(ended, probe.target, ctx);
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

/** Relays or ends the pending probe once its answer is overdue. */
export function checkProbe(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const { probe } = state;
  if (!probe) return unchanged(state);
  if (ctx.now >= probe.until) return endProbe(state, probe, ctx);
  if (!probe.relayed && ctx.now >= probe.directUntil) return relayProbe(state, probe, ctx);
  return unchanged(state);
}

/** Sends a nack to the requester of each relayed probe that timed out. */
export function expireRelayedProbes(
  state: MembershipState,
  ctx: MembershipContext,
): MembershipStep {
  const timedOut = state.relayed.filter((relay) => ctx.now >= relay.until);
  if (timedOut.length === 0) return unchanged(state);
  const relayed = state.relayed.filter((relay) => ctx.now < relay.until);
  const nacks = timedOut.map((relay) =>
    send(relay.requester, { kind: 'nack', seq: relay.requesterSeq }),
  );
  return next({ ...state, relayed }, ...nacks);
}

/** Declares suspects dead that did not refute in time. */
export function expireSuspects(state: MembershipState, ctx: MembershipContext): MembershipStep {
  const expired = [...state.suspects].filter(([, until]) => ctx.now >= until);
  const steps = expired.map(([id]) => (current: MembershipState) => {
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

/** Ends the pending probe, or passes the ack of a relayed probe on to its requester. */
export function handleAck(state: MembershipState, seq: number): MembershipStep {
  const relay = state.relayed.find((candidate) => candidate.seq === seq);
  if (relay) {
    const relayed = state.relayed.filter((candidate) => candidate !== relay);
    return next(
      { ...state, relayed },
      send(relay.requester, { kind: 'ack', seq: relay.requesterSeq }),
    );
  }
  if (state.probe?.seq !== seq) return unchanged(state);
  const unconfirmedFailures = new Map(state.unconfirmedFailures);
  unconfirmedFailures.delete(state.probe.target);
  return next({ ...state, probe: undefined, unconfirmedFailures });
}

/** Notes that a relay has not reached the target of the pending probe either. */
export function handleNack(state: MembershipState, seq: number): MembershipStep {
  const { probe } = state;
  if (probe?.seq !== seq) return unchanged(state);
  return next({ ...state, probe: { ...probe, confirmed: true } });
}

/** Probes the target of a relay message for the daemon at `requester`. */
export function handleRelay(
  state: MembershipState,
  requester: string,
  message: { readonly seq: number; readonly target: string },
  ctx: MembershipContext,
): MembershipStep {
  const seq = state.seq + 1;
  const until = later(ctx.now, ctx.settings.probeTimeoutMs);
  const relay = { seq, requester, requesterSeq: message.seq, until };
  const relayed = [...state.relayed, relay];
  return next({ ...state, seq, relayed }, send(message.target, { kind: 'probe', seq }));
}

/** A connection failed: its member is probed at once, or through others if a probe is pending. */
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

/**
 * After a pause of this process: discards pending probes, whose answers may only have been late,
 * and extends the time of suspects by the pause.
 */
export function resetAfterPause(state: MembershipState, gapMs: number): MembershipState {
  const suspects = new Map<DaemonId, MonoTime>();
  for (const [id, until] of state.suspects) suspects.set(id, later(until, gapMs));
  return { ...state, suspects, probe: undefined, relayed: [], unconfirmedFailures: new Map() };
}
