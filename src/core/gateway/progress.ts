/**
 * Detects stalled groups and measures their speed. A group whose head waits for a lost member keeps its
 * connections open and sends nothing: that all its streams are idle at once is the first sign, seconds before
 * the platform's registry or the engine reports it.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';
import type { EngineSpec } from './types';

/** Parameters of stall detection. */
export interface ProgressOptions {
  /** Idle time of a group with running streams that indicates a stall, in mean pauses between events. */
  readonly stallPauses: number;
  /** Minimum of that idle time, milliseconds: prefill between decoding steps delays all streams. */
  readonly minStallMs: number;
  /** Weight of the latest pause in the running mean. */
  readonly smoothing: number;
}

export const PROGRESS_DEFAULTS: ProgressOptions = {
  stallPauses: 6,
  minStallMs: 500,
  smoothing: 0.2,
};

/** What this daemon has observed of one group. */
export interface Progress {
  /** Requests of this daemon that are running in the group. */
  readonly running: number;
  /** How many of them have received an event. */
  readonly started: number;
  /** Prompt tokens of the others. */
  readonly pendingPrefill: number;
  /** Start of the idle time: the latest event, or the first send to a group that had no requests. */
  readonly since: MonoTime;
  /** Mean pause between events of a stream, milliseconds; undefined until a stream has had two. */
  readonly pauseMs: number | undefined;
  /** When the last event of any stream was received. */
  readonly eventAt: MonoTime | undefined;
  /** When the first event after a silence was received. */
  readonly resumedAt: MonoTime | undefined;
}

/** Progress of a group that nothing was sent to yet. */
export function createProgress(now: MonoTime): Progress {
  return {
    running: 0,
    started: 0,
    pendingPrefill: 0,
    since: now,
    pauseMs: undefined,
    eventAt: undefined,
    resumedAt: undefined,
  };
}

/** A group without an event for this long is silent, milliseconds: a few pauses of a busy group. */
export const SILENCE_MS = 350;

/**
 * Whether the group is silent, or was until a moment ago. Load pattern: servers pause and go on together, but
 * not in the same millisecond; the first that goes on must not get the streams of the others.
 */
export function isSilent(progress: Progress, now: MonoTime): boolean {
  const { running, since, resumedAt } = progress;
  if (running === 0) return false;
  const hasResumed = resumedAt !== undefined && now < later(resumedAt, SILENCE_MS);
  return hasResumed || now >= later(since, silenceMs(progress));
}

/** A slow group is not silent between two of its events. */
const SILENT_PAUSES = 2;

function silenceMs({ pauseMs = 0 }: Progress): number {
  return Math.max(SILENCE_MS, SILENT_PAUSES * pauseMs);
}

/** Records that a request was sent to the group. */
export function noteSent(progress: Progress, now: MonoTime, promptTokens: number): Progress {
  const since = progress.running === 0 ? now : progress.since;
  const pendingPrefill = progress.pendingPrefill + promptTokens;
  return { ...progress, running: progress.running + 1, pendingPrefill, since };
}

/** Records the end of a request; `pendingPrefill` is its prompt length if it received no event, else 0. */
export function noteEnded(progress: Progress, pendingPrefill: number): Progress {
  const running = Math.max(0, progress.running - 1);
  const started = progress.started - (pendingPrefill === 0 ? 1 : 0);
  return {
    ...progress,
    running,
    started: Math.max(0, Math.min(running, started)),
    pendingPrefill: Math.max(0, progress.pendingPrefill - pendingPrefill),
  };
}

/** Records the first event of a request, which shows that its prompt was prefilled. */
export function notePrefilled(progress: Progress, promptTokens: number): Progress {
  const started = Math.min(progress.running, progress.started + 1);
  return {
    ...progress,
    started,
    pendingPrefill: Math.max(0, progress.pendingPrefill - promptTokens),
  };
}

/** Records an event of any of the group's streams; `pauseMs` is the time since that stream's previous one. */
export function noteEvent(
  progress: Progress,
  now: MonoTime,
  pauseMs: number | undefined,
  { smoothing }: ProgressOptions = PROGRESS_DEFAULTS,
): Progress {
  const resumedAt = now >= later(progress.since, silenceMs(progress)) ? now : progress.resumedAt;
  const next = { ...progress, since: now, eventAt: now, resumedAt };
  if (pauseMs === undefined) return next;
  const mean = progress.pauseMs ?? pauseMs;
  return { ...next, pauseMs: mean + smoothing * (pauseMs - mean) };
}

/**
 * Pause between events of a stream in a group that runs `running` requests, milliseconds, by the published
 * performance model. `pace` is the model's factor on all times.
 */
export function expectedPauseMs(engine: EngineSpec, pace: number, running: number): number {
  const contextK = (engine.usual.prompt + engine.usual.answer) / 1000;
  const perRequest = engine.perRequestMs + engine.perContextKMs * contextK;
  return pace * engine.stepsPerPass * (engine.stepMs + perRequest * running);
}

/**
 * Time for which a mean request holds a slot in a group that runs `running` requests, milliseconds, by the
 * published performance model.
 */
export function publishedHoldMs(engine: EngineSpec, pace: number, running: number): number {
  const { prompt, answer } = engine.usual;
  const stepMs = expectedPauseMs(engine, pace, running) / engine.stepsPerPass;
  return (pace * prompt) / engine.prefillTokensPerMs + answer * stepMs;
}

/** Observed slowdown is stale after this time, since slow periods end. */
const SLOWDOWN_FRESH_MS = 2_500;

/** Recent slowdown factor of the group, at least 1; undefined if it had no recent events. */
export function slowdownOf(
  { pauseMs, eventAt }: Progress,
  expectedMs: number,
  now: MonoTime,
): number | undefined {
  if (pauseMs === undefined || eventAt === undefined) return undefined;
  return now < later(eventAt, SLOWDOWN_FRESH_MS) ? Math.max(1, pauseMs / expectedMs) : undefined;
}

/**
 * When the group's idle time becomes evidence of a stall; undefined while this daemon has no requests there.
 * Pending prompts of all daemons delay the group's events by `prefillMs`.
 */
export function stalledAt(
  progress: Progress,
  expectedMs: number,
  prefillMs: number,
  { stallPauses, minStallMs }: ProgressOptions = PROGRESS_DEFAULTS,
): MonoTime | undefined {
  if (progress.running === 0) return undefined;
  const pauseMs = Math.max(expectedMs, progress.pauseMs ?? 0);
  return later(progress.since, Math.max(minStallMs, stallPauses * pauseMs) + prefillMs);
}

/** Idle time that indicates a stall if no stream here has had an event, while other daemons have streams there. */
const FIRST_EVENT_STALL_MS = 1_200;
/**
 * The same if the other daemons' streams aren't known, as in the seconds after all daemons were lost: callers
 * then retry together, and groups are filled by daemons that don't see each other's load.
 */
const FIRST_EVENT_STALL_UNKNOWN_LOAD_MS = 2_000;

/**
 * When a group's idle time becomes evidence of a stall if other daemons have streams in it. Waiting for
 * first events alone is weak evidence: prompts are prefilled one after another, and the group may be full.
 * Daemons whose streams have started detect the stall sooner.
 */
export function sharedGroupStalledAt(
  progress: Progress,
  expectedMs: number,
  prefillMs: number,
  hasPeerLoads: boolean,
): MonoTime | undefined {
  if (progress.running === 0 || progress.started > 0)
    return stalledAt(progress, expectedMs, prefillMs);
  const firstEventMs = hasPeerLoads ? FIRST_EVENT_STALL_MS : FIRST_EVENT_STALL_UNKNOWN_LOAD_MS;
  return later(progress.since, firstEventMs + prefillMs);
}

/** Part of a caller's longest permitted pause that the prefill of other prompts may take. */
const PREFILL_SHARE = 0.8;

/**
 * Prompt tokens that may wait for prefill in a group at a time. A pass of the engine that prefills prompts
 * delays the next events of all streams, which must not wait longer than `maxPauseMs`.
 */
export function maxPrefillTokens(
  engine: EngineSpec,
  pace: number,
  running: number,
  maxPauseMs: number,
): number {
  const prefillMs = PREFILL_SHARE * maxPauseMs - expectedPauseMs(engine, pace, running);
  return Math.max(engine.usual.prompt, (prefillMs / pace) * engine.prefillTokensPerMs);
}
