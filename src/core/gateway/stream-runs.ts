/**
 * Decides which run of a stream is forwarded while several servers work on it, and which are closed.
 *
 * Load pattern: one member of a group sends nothing for a moment, and its streams are moved. The server that a stream
 * is moved to may reject it, break off or fall silent itself, when no attempt is left. So the run that is silent
 * is kept open, and the one that gives the next event first goes on.
 */

import type { StreamEvent } from './events';

/** A run of the stream at one server; later ones have greater numbers. */
export type RunNumber = number;

export interface StreamRuns {
  readonly open: readonly RunNumber[];
  /** The run whose events reach the caller; undefined if that has ended and no other has given an event yet. */
  readonly forwarded: RunNumber | undefined;
}

export const NO_RUNS: StreamRuns = { open: [], forwarded: undefined };

export function beginRun({ open, forwarded }: StreamRuns, run: RunNumber): StreamRuns {
  return { open: [...open, run], forwarded: open.length === 0 ? run : forwarded };
}

export function endRun({ open, forwarded }: StreamRuns, run: RunNumber): StreamRuns {
  return {
    open: open.filter((one) => one !== run),
    forwarded: forwarded === run ? undefined : forwarded,
  };
}

/** The run gave the next event: it alone goes on. Undefined if it was closed before. */
export function forwardOnly(runs: StreamRuns, run: RunNumber): StreamRuns | undefined {
  if (isOnlyRun(runs, run) && runs.forwarded === run) return runs;
  return runs.open.includes(run) ? { open: [run], forwarded: run } : undefined;
}

export function isOnlyRun({ open }: StreamRuns, run: RunNumber): boolean {
  return open.length === 1 && open[0] === run;
}

/** Whether the run may be followed by another: only the latest one, so that each begins one at most at a time. */
export function isLatestRun({ open }: StreamRuns, run: RunNumber): boolean {
  return open.at(-1) === run;
}

/** An event with content. */
export interface NextEvent {
  readonly id: number | undefined;
  /** Id of the last event that the caller received. */
  readonly lastId: number | undefined;
}

/**
 * Why an event does not continue the stream, if it does not. Of a run that is not forwarded yet, one without an id may
 * be one that the caller has.
 */
export function eventFault({ id, lastId }: NextEvent, isForwarded: boolean): string | undefined {
  if (lastId === undefined) return undefined;
  if (id === undefined) return isForwarded ? undefined : `event without an id after ${lastId}`;
  return id === lastId + 1 ? undefined : `event ${id} after ${lastId}`;
}

/**
 * The fault of a chunk of a run that is not forwarded, if it has one. Its sound events are not taken either: the run
 * would end at once, and the others had been closed for it.
 */
export function chunkFault(
  events: readonly Pick<StreamEvent, 'id' | 'isEmpty'>[],
  lastId: number | undefined,
): string | undefined {
  let last = lastId;
  for (const { id, isEmpty } of events) {
    if (isEmpty) continue;
    const fault = eventFault({ id, lastId: last }, last !== lastId);
    if (fault !== undefined) return fault;
    last = id ?? last;
  }
  return undefined;
}
