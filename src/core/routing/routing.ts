/**
 * Chooses a replica group for each attempt of a request. No I/O: every function updates the state
 * in place and returns it. The state belongs to one event loop.
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

/** Choices between two sweeps for removed groups. */
const SWEEP_INTERVAL = 1_024;
/** A group that was not offered for this long is dropped, milliseconds. */
const DROP_AFTER_MS = 600_000;

/** The initial state, with options that override {@link ROUTING_DEFAULTS}. */
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

/**
 * Chooses a group for one attempt; `undefined` if every group was tried or is no longer routable.
 */
export function chooseGroup(state: RoutingState, req: RouteRequest, ctx: RandomContext): Route {
  const offered = new Map<GroupId, RoutableGroup>();
  const tracked: GroupState[] = [];
  for (const group of req.groups) {
    if (group.routableUntil <= ctx.now) continue;
    const entry = trackGroup(state, group, ctx.now);
    tracked.push(entry);
    if (!req.exclude.has(group.id)) offered.set(group.id, group);
  }
  const [first] = tracked;
  if (first === undefined || offered.size === 0) return { state, group: undefined };
  const model = modelOf(state, first.model, ctx.now);
  evaluateIfDue(state, model, tracked, ctx.now);
  sweepIfDue(state, ctx.now);
  const policy = ROUTING_POLICIES[state.opts.policy];
  const candidates = tracked.filter((group) => offered.has(group.id));
  const groups = policy.ejectsStragglers
    ? eligibleGroups(candidates, ctx.now, state.opts, ctx.random)
    : candidates;
  const keys = req.prefixKeys.map((key) => affinityKey(req.organisation, key));
  const chosen = policy.choose(groups, { state, model, keys, ctx });
  return { state, group: chosen && offered.get(chosen.id) };
}

/** Records that an attempt was sent and counts it as in flight. */
export function onSent(state: RoutingState, event: SentEvent, { now }: StepContext): RoutingState {
  const group = state.groups.get(event.group);
  if (group === undefined || state.attempts.has(event.attempt)) return state;
  const meanPeerLoad = state.models.get(group.model)?.meanPeerLoad ?? 0;
  const hadFreeSlot = estimateLoad(group.load, meanPeerLoad, now, state.opts) < group.maxBatch;
  const { streams = false } = event;
  const attempt = {
    group: event.group,
    sentAt: now,
    hadFreeSlot,
    streams,
    firstTokenAt: undefined,
  };
  state.attempts.set(event.attempt, attempt);
  if (hadFreeSlot && streams) group.waiting.set(event.attempt, now);
  adjustInFlight(group.load, 1, now);
  const { organisation, prefixKeys = [] } = event;
  if (organisation === undefined) return state;
  const keys = prefixKeys.map((key) => affinityKey(organisation, key));
  recordSentPrefixes(state, group, keys, now);
  return state;
}

/** Records that the attempt's first token arrived. */
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
  const isSample = attempt.hadFreeSlot && attempt.streams;
  if (group !== undefined && isSample) addSample(group.firstTokenMs, now - attempt.sentAt);
  return state;
}

/** Records that the attempt ended, with whatever result. A second call for it does nothing. */
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

/** Applies an engine's load report. */
export function onLoadReport(
  state: RoutingState,
  report: LoadReport,
  { now }: StepContext,
): RoutingState {
  const group = state.groups.get(report.group);
  if (group !== undefined) applyLoadReport(group.load, report, now, state.opts);
  return state;
}

/** Applies an engine's cache events, which may arrive late and incomplete. */
export function onCacheEvents(
  state: RoutingState,
  batch: CacheEvents,
  { now }: StepContext,
): RoutingState {
  const group = state.groups.get(batch.group);
  if (group !== undefined) applyCacheEvents(state, group, batch, now);
  return state;
}

function trackGroup(state: RoutingState, group: RoutableGroup, now: MonoTime): GroupState {
  const existing = state.groups.get(group.id);
  if (existing !== undefined) {
    existing.lastSeen = now;
    existing.maxBatch = group.maxBatch;
    return existing;
  }
  const created: GroupState = {
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
  state.groups.set(group.id, created);
  return created;
}

function modelOf(state: RoutingState, id: ModelId, now: MonoTime): ModelState {
  const existing = state.models.get(id);
  if (existing !== undefined) return existing;
  const model: ModelState = { roundRobinIndex: -1, nextEvaluationAt: now, meanPeerLoad: 0 };
  state.models.set(id, model);
  return model;
}

function evaluateIfDue(
  state: RoutingState,
  modelState: ModelState,
  groups: readonly GroupState[],
  now: MonoTime,
): void {
  if (now < modelState.nextEvaluationAt) return;
  modelState.nextEvaluationAt = later(now, state.opts.judgeEveryMs);
  const reported = groups.filter((group) => group.load.reportedAt !== undefined);
  const totalPeerLoad = reported.reduce((sum, group) => sum + group.load.peerLoad, 0);
  modelState.meanPeerLoad = reported.length === 0 ? 0 : totalPeerLoad / reported.length;
  const model = groups[0]?.model;
  const ofModel = [...state.groups.values()].filter((group) => group.model === model);
  updateEjections(groups, countEjected(ofModel, now, state.opts), now, state.opts);
}

function sweepIfDue(state: RoutingState, now: MonoTime): void {
  state.choices += 1;
  if (state.choices % SWEEP_INTERVAL !== 0) return;
  for (const group of state.groups.values()) {
    const isIdle = group.load.inFlight === 0;
    if (isIdle && now - group.lastSeen > DROP_AFTER_MS) state.groups.delete(group.id);
  }
}
