/**
 * Choice of a replica group for each attempt of a request. Pure but for its state, a record that
 * one loop owns and that every function changes in place and hands back.
 */

import type { RoutableGroup } from '../groups/types';
import type { GroupId, ModelId, MonoTime } from '../ids';
import { later } from '../ids';
import type { RandomContext } from '../random';
import type { StepContext } from '../reducer';
import { affinityKey, applyCacheEvents, recordSentPrefixes } from './cache';
import { hashText } from './hash';
import { adjustInFlight, createLoad, estimateLoad, applyLoadReport } from './load';
import { ROUTING_POLICIES } from './policies';
import {
  addSample,
  countEjected,
  createAverage,
  eligibleGroups,
  updateEjections,
} from './stragglers';
import { ROUTING_DEFAULTS } from './types';
import type {
  CacheEvents,
  EndEvent,
  FirstTokenEvent,
  GroupState,
  LoadReport,
  ModelState,
  Route,
  RouteRequest,
  RoutingOptions,
  RoutingState,
  SentEvent,
} from './types';

/** Choices between two sweeps for groups that are gone. */
const SWEEP_EVERY = 1_024;
/** A group not offered for so long is forgotten, milliseconds. */
const FORGET_AFTER_MS = 600_000;

export function createRouting(opts: Partial<RoutingOptions> = {}): RoutingState {
  return {
    opts: { ...ROUTING_DEFAULTS, ...opts },
    groups: new Map(),
    models: new Map(),
    attempts: new Map(),
    prefixes: new Map(),
    choices: 0,
  };
}

/** Chooses a group for one attempt; none when no group is left to try. */
export function chooseGroup(state: RoutingState, req: RouteRequest, ctx: RandomContext): Route {
  const offered = new Map<GroupId, RoutableGroup>();
  const known: GroupState[] = [];
  for (const group of req.groups) {
    if (group.routableUntil <= ctx.now) continue;
    const seen = see(state, group, ctx.now);
    known.push(seen);
    if (!req.exclude.has(group.id)) offered.set(group.id, group);
  }
  const [first] = known;
  if (first === undefined || offered.size === 0) return { state, group: undefined };
  const model = modelOf(state, first.model, ctx.now);
  judgeIfDue(state, model, known, ctx.now);
  sweepIfDue(state, ctx.now);
  const policy = ROUTING_POLICIES[state.opts.policy];
  const open = known.filter((group) => offered.has(group.id));
  const groups = policy.ejectsStragglers
    ? eligibleGroups(open, ctx.now, state.opts, ctx.random)
    : open;
  const keys = req.prefixKeys.map((key) => affinityKey(req.organisation, key));
  const chosen = policy.choose(groups, { state, model, keys, ctx });
  return { state, group: chosen && offered.get(chosen.id) };
}

/** An attempt was sent: counts it as in flight. */
export function onSent(state: RoutingState, event: SentEvent, { now }: StepContext): RoutingState {
  const group = state.groups.get(event.group);
  if (group === undefined || state.attempts.has(event.attempt)) return state;
  const meanOthers = state.models.get(group.model)?.meanPeerLoad ?? 0;
  const hadRoom = estimateLoad(group.load, meanOthers, now, state.opts) < group.maxBatch;
  const { streams = false } = event;
  const attempt = { group: event.group, sentAt: now, hadRoom, streams, firstTokenAt: undefined };
  state.attempts.set(event.attempt, attempt);
  if (hadRoom && streams) group.waiting.set(event.attempt, now);
  adjustInFlight(group.load, 1, now);
  const { organisation, prefixKeys = [] } = event;
  if (organisation === undefined) return state;
  const keys = prefixKeys.map((key) => affinityKey(organisation, key));
  recordSentPrefixes(state, group, keys, now);
  return state;
}

/** The attempt's first token came. */
export function onFirstToken(
  state: RoutingState,
  event: FirstTokenEvent,
  { now }: StepContext,
): RoutingState {
  const attempt = state.attempts.get(event.attempt);
  const group = attempt && state.groups.get(attempt.group);
  if (attempt === undefined || attempt.firstTokenAt !== undefined) return state;
  attempt.firstTokenAt = now;
  group?.waiting.delete(event.attempt);
  const counts = attempt.hadRoom && attempt.streams;
  if (group !== undefined && counts) addSample(group.firstTokenMs, now - attempt.sentAt);
  return state;
}

/** The attempt is over, however it went. A second call for it does nothing. */
export function onEnd(state: RoutingState, event: EndEvent, { now }: StepContext): RoutingState {
  const attempt = state.attempts.get(event.attempt);
  if (attempt === undefined) return state;
  state.attempts.delete(event.attempt);
  const group = state.groups.get(attempt.group);
  if (group === undefined) return state;
  group.waiting.delete(event.attempt);
  adjustInFlight(group.load, -1, now);
  const { tokens = 0 } = event;
  if (attempt.firstTokenAt !== undefined && tokens > 1) {
    addSample(group.interTokenMs, (now - attempt.firstTokenAt) / (tokens - 1));
  }
  return state;
}

/** An engine said how much it holds. */
export function onLoadReport(
  state: RoutingState,
  report: LoadReport,
  { now }: StepContext,
): RoutingState {
  const group = state.groups.get(report.group);
  if (group !== undefined) applyLoadReport(group.load, report, now, state.opts);
  return state;
}

/** An engine said what it cached and dropped; late, and perhaps not all of it. */
export function onCacheEvents(
  state: RoutingState,
  batch: CacheEvents,
  { now }: StepContext,
): RoutingState {
  const group = state.groups.get(batch.group);
  if (group !== undefined) applyCacheEvents(state, group, batch, now);
  return state;
}

function see(state: RoutingState, group: RoutableGroup, now: MonoTime): GroupState {
  const known = state.groups.get(group.id);
  if (known !== undefined) {
    known.lastSeen = now;
    known.maxBatch = group.maxBatch;
    return known;
  }
  const seen: GroupState = {
    id: group.id,
    model: group.model,
    hash: hashText(group.id),
    maxBatch: group.maxBatch,
    load: createLoad(),
    waiting: new Map(),
    firstTokenMs: createAverage(),
    interTokenMs: createAverage(),
    slowness: 1,
    ejections: 0,
    ejectedUntil: undefined,
    cacheSeq: 0,
    cacheGaps: 0,
    lastSeen: now,
  };
  state.groups.set(group.id, seen);
  return seen;
}

function modelOf(state: RoutingState, id: ModelId, now: MonoTime): ModelState {
  const known = state.models.get(id);
  if (known !== undefined) return known;
  const model: ModelState = { roundRobinIndex: -1, nextEvaluationAt: now, meanPeerLoad: 0 };
  state.models.set(id, model);
  return model;
}

function judgeIfDue(
  state: RoutingState,
  shared: ModelState,
  groups: readonly GroupState[],
  now: MonoTime,
): void {
  if (now < shared.nextEvaluationAt) return;
  shared.nextEvaluationAt = later(now, state.opts.judgeEveryMs);
  const reported = groups.filter((group) => group.load.reportedAt !== undefined);
  const others = reported.reduce((sum, group) => sum + group.load.peerLoad, 0);
  shared.meanPeerLoad = reported.length === 0 ? 0 : others / reported.length;
  const model = groups[0]?.model;
  const known = [...state.groups.values()].filter((group) => group.model === model);
  updateEjections(groups, countEjected(known, now, state.opts), now, state.opts);
}

function sweepIfDue(state: RoutingState, now: MonoTime): void {
  state.choices += 1;
  if (state.choices % SWEEP_EVERY !== 0) return;
  for (const group of state.groups.values()) {
    const isIdle = group.load.inFlight === 0;
    if (isIdle && now - group.lastSeen > FORGET_AFTER_MS) state.groups.delete(group.id);
  }
}
