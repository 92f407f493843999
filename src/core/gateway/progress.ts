/**
 * Notices groups that have stopped to produce. A group whose head waits for a lost member keeps its
 * connections open and sends nothing: the silence of all its streams at once is the first sign,
 * seconds before the platform's list or the engine itself say so.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';
import type { EngineSpec } from './types';

export interface ProgressOptions {
  /** Silence of a group with streams running that is evidence of a fault, in usual pauses between events. */
  readonly stallPauses: number;
  /** Least silence, milliseconds: prompts that are read between the tokens of others hold all streams up. */
  readonly minStallMs: number;
  /** Weight of the latest pause in the running mean. */
  readonly smoothing: number;
}

export const PROGRESS_DEFAULTS: ProgressOptions = {
  stallPauses: 6,
  minStallMs: 500,
  smoothing: 0.2,
};

/** What this daemon saw of one group. */
export interface Progress {
  /** Requests of this daemon that the group has and that have not ended. */
  readonly running: number;
  /** How many of them have given an event. */
  readonly started: number;
  /** Tokens of the prompts of the others. */
  readonly pendingPrefill: number;
  /** The group is expected to show life from here on: its latest event, or the send that ended an idle time. */
  readonly since: MonoTime;
  /** Mean pause between events of a stream, milliseconds; undefined until two were seen. */
  readonly pauseMs: number | undefined;
  /** When an event of any stream was last seen. */
  readonly eventAt: MonoTime | undefined;
}

export function createProgress(now: MonoTime): Progress {
  return {
    running: 0,
    started: 0,
    pendingPrefill: 0,
    since: now,
    pauseMs: undefined,
    eventAt: undefined,
  };
}

export function noteSent(progress: Progress, now: MonoTime, promptTokens: number): Progress {
  const since = progress.running === 0 ? now : progress.since;
  const unread = progress.pendingPrefill + promptTokens;
  return { ...progress, running: progress.running + 1, pendingPrefill: unread, since };
}

/** A request has ended; `unread` is its prompt where it gave no event. */
export function noteEnded(progress: Progress, unread: number): Progress {
  const running = Math.max(0, progress.running - 1);
  const started = progress.started - (unread === 0 ? 1 : 0);
  return {
    ...progress,
    running,
    started: Math.max(0, Math.min(running, started)),
    pendingPrefill: Math.max(0, progress.pendingPrefill - unread),
  };
}

/** The first event of a request: its prompt has been read. */
export function notePrefilled(progress: Progress, promptTokens: number): Progress {
  const started = Math.min(progress.running, progress.started + 1);
  return {
    ...progress,
    started,
    pendingPrefill: Math.max(0, progress.pendingPrefill - promptTokens),
  };
}

/** Takes in an event of any of the group's streams; `pauseMs` is the time since that stream's last one. */
export function noteEvent(
  progress: Progress,
  now: MonoTime,
  pauseMs: number | undefined,
  { smoothing }: ProgressOptions = PROGRESS_DEFAULTS,
): Progress {
  if (pauseMs === undefined) return { ...progress, since: now, eventAt: now };
  const mean = progress.pauseMs ?? pauseMs;
  return { ...progress, since: now, eventAt: now, pauseMs: mean + smoothing * (pauseMs - mean) };
}

/** Pause between events of a stream in a group that runs `running` requests, by the published figures. */
export function expectedPauseMs(engine: EngineSpec, pace: number, running: number): number {
  const contextK = (engine.usual.prompt + engine.usual.answer) / 1000;
  const perRequest = engine.perRequestMs + engine.perContextKMs * contextK;
  return pace * engine.stepsPerPass * (engine.stepMs + perRequest * running);
}

/** How long a usual request holds a place in a group that runs `running` requests, by the published figures. */
export function publishedHoldMs(engine: EngineSpec, pace: number, running: number): number {
  const { prompt, answer } = engine.usual;
  const stepMs = expectedPauseMs(engine, pace, running) / engine.stepsPerPass;
  return (pace * prompt) / engine.prefillTokensPerMs + answer * stepMs;
}

/** What was seen of a group's pace says nothing of it after this, milliseconds: slow spells end. */
const PACE_FRESH_MS = 2_500;

/** How many times slower than usual the group was of late, 1 at least; undefined where none of its events was seen. */
export function slowdownOf(
  { pauseMs, eventAt }: Progress,
  usualMs: number,
  now: MonoTime,
): number | undefined {
  if (pauseMs === undefined || eventAt === undefined) return undefined;
  return now < later(eventAt, PACE_FRESH_MS) ? Math.max(1, pauseMs / usualMs) : undefined;
}

/**
 * When the group's silence becomes evidence of a fault; undefined while nothing runs there. Prompts
 * that wait to be read, of all daemons, hold the group's events up for `readingMs`.
 */
export function stalledAt(
  progress: Progress,
  usualMs: number,
  readingMs: number,
  { stallPauses: pauses, minStallMs: leastMs }: ProgressOptions = PROGRESS_DEFAULTS,
): MonoTime | undefined {
  if (progress.running === 0) return undefined;
  const expected = Math.max(usualMs, progress.pauseMs ?? 0);
  return later(progress.since, Math.max(leastMs, pauses * expected) + readingMs);
}

/** Silence of streams without any event that is evidence of a fault, while others have streams there, ms. */
const FIRST_EVENT_MS = 1_200;
/**
 * The same where nothing is known of the others' streams, as in the seconds after all daemons were lost:
 * callers then come back together, and groups are filled by daemons that do not see each other.
 */
const FIRST_EVENT_UNSEEN_MS = 2_000;

/**
 * When the silence of a group becomes evidence where others have streams in it. A wait for the first
 * events alone shows little: prompts are read in turn, and the group may be full. Those whose streams
 * had begun see a fault at once.
 */
export function sharedGroupStalledAt(
  progress: Progress,
  usualMs: number,
  readingMs: number,
  knowsOthers: boolean,
): MonoTime | undefined {
  if (progress.running === 0 || progress.started > 0)
    return stalledAt(progress, usualMs, readingMs);
  const firstEventMs = knowsOthers ? FIRST_EVENT_MS : FIRST_EVENT_UNSEEN_MS;
  return later(progress.since, firstEventMs + readingMs);
}

/** Part of a caller's longest pause that reading others' prompts may take up. */
const READING_SHARE = 0.8;

/**
 * Prompt tokens that may wait in a group at a time. A pass of the engine that reads prompts holds up
 * the next events of all streams, which must not wait for longer than `gapMs`.
 */
export function maxPrefillTokens(
  engine: EngineSpec,
  pace: number,
  running: number,
  gapMs: number,
): number {
  const readingMs = READING_SHARE * gapMs - expectedPauseMs(engine, pace, running);
  return Math.max(engine.usual.prompt, (readingMs / pace) * engine.prefillTokensPerMs);
}
