/**
 * Runs a stream at a group, and at others besides as long as those before are silent. The run that gives the next
 * event goes on, and the others are closed.
 */

import { Subject } from 'rxjs';

import {
  beginRun,
  endRun,
  forwardOnly,
  isLatestRun,
  isOnlyRun,
  NO_RUNS,
} from '../../core/gateway/stream-runs';
import type { RunNumber } from '../../core/gateway/stream-runs';
import { later } from '../../core/ids';
import { logFailedAttempt } from './exchange';
import type { ServingGroup } from './group-index';
import { attempt } from './stream-attempt';
import type { AttemptDeps, AttemptEnd, AttemptOptions } from './stream-attempt';
import type { AttemptResult, RunControl } from './stream-relay';
import { noteUnexpected } from './unexpected';

/** A group that could not be sent a stream which has begun may be tried again after this, milliseconds. */
const UNREACHED_PAUSE_MS = 500;

export type RunOptions = Omit<AttemptOptions, 'run'>;

/** Resolves with the result of the run that answered the stream, or of the last one that ended. */
export function runStream(
  deps: AttemptDeps,
  { exchange, group: firstGroup, state, slots }: RunOptions,
): Promise<AttemptResult> {
  const { ctx } = deps;
  const stops = new Map<RunNumber, AbortController>();
  const ends = new Subject<void>();
  let runs = NO_RUNS;
  let count = 0;

  const close = (run: RunNumber, reason: string): void => {
    stops.get(run)?.abort(new Error(reason));
  };

  const closeAll = (reason: string): void => {
    const closed = runs.open;
    runs = NO_RUNS;
    for (const run of closed) close(run, reason);
  };

  const noteNotSent = ({ id, head }: ServingGroup): void => {
    state.unreached += 1;
    if (!state.hasStarted) return;
    // This daemon's own link may be slow: groups are tried again once their suspension has ended.
    if (runs.open.length === 0) {
      state.tried = new Set([id]);
      return;
    }
    state.tried.delete(id);
    state.unreachedUntil.set(head.id, later(ctx.clock.now(), UNREACHED_PAUSE_MS));
  };

  return new Promise((resolve, reject) => {
    const onEnd = (run: RunNumber, group: ServingGroup, end: AttemptEnd): void => {
      const { result, reason, trace, answeringMs, byPeer } = end;
      const wasOpen = runs.open.includes(run);
      runs = endRun(runs, run);
      stops.delete(run);
      if (result === 'not-sent') {
        state.attempts -= 1;
        if (run > 1) state.hasRetry = true;
      }
      const isAnswered = result === 'complete' || result === 'passed-on';
      if (!isAnswered)
        logFailedAttempt(ctx, exchange, {
          ...{ server: group.head.id, ended: result, reason },
          ...trace,
          ...(answeringMs !== undefined && { answeringMs }),
        });
      if (result === 'lost') state.exposure = 'unknown';
      if (!wasOpen) return;
      if (result === 'not-sent') noteNotSent(group);
      if (result === 'lost' && byPeer) state.tried.delete(group.id);
      // A slot may have become free between the end of the answer and now.
      if (isAnswered) closeAll('the stream is answered');
      if (runs.open.length > 0) {
        ends.next();
        return;
      }
      Object.assign(state, { server: group.head.id, reason, trace, answeringMs });
      resolve(result);
    };

    const onError = (run: RunNumber, thrown: unknown): void => {
      if (!runs.open.includes(run)) {
        noteUnexpected(ctx, 'stream', thrown);
        return;
      }
      runs = endRun(runs, run);
      closeAll('unexpected error');
      reject(thrown instanceof Error ? thrown : new Error(String(thrown)));
    };

    const begin = (group: ServingGroup): void => {
      count += 1;
      const run = count;
      const stop = new AbortController();
      stops.set(run, stop);
      runs = beginRun(runs, run);
      state.tried.add(group.id);
      state.attempts += 1;
      const control: RunControl = {
        ...{ stop, begin, ends },
        isForwarded: () => runs.forwarded === run,
        isLatest: () => isLatestRun(runs, run),
        isOnly: () => isOnlyRun(runs, run),
        goOnAlone: () => {
          const next = forwardOnly(runs, run);
          if (!next) return false;
          const closed = runs.open.filter((other) => other !== run);
          runs = next;
          for (const other of closed)
            close(
              other,
              other < run ? 'moved: its group is silent' : 'not moved: its server goes on',
            );
          return true;
        },
      };
      attempt(deps, { exchange, group, state, slots, run: control }).then(
        (end) => {
          onEnd(run, group, end);
        },
        (err: unknown) => {
          onError(run, err);
        },
      );
    };

    begin(firstGroup);
  });
}
