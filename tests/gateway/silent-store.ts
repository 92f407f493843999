/** A store in fake time whose calls are lost without an error while it is silent. */

import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import type { Changes, Feed } from '../../src/ports/gateway';
import type { StorePosition } from '../../src/core/store-era';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { position } from './support';

/** Round trip to the store. */
const ROUND_TRIP_MS = 5;
/** Unless the caller aborts it, the store client abandons a call this long after its wait. */
const CLIENT_SLACK_MS = 1_000;

/**
 * A store that can fall silent: calls in progress at that time and calls sent during the silence
 * are never answered.
 */
export function createSilentStore() {
  const values = new Map<string, { readonly value: unknown; readonly revision: number }>();
  const wakers = new Set<() => void>();
  let revision = 0;
  let isSilent = false;
  let calls = 0;
  /** Calls of an earlier era are never answered. */
  let era = 0;

  const read = <T>(name: string, after: number): Changes<T> => {
    const row = values.get(name);
    const changes = row && row.revision > after ? [{ key: name, value: row.value as T }] : [];
    return { changes, position: position(revision) };
  };

  const call = <T>(
    name: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<Changes<T>, StepError> => {
    calls += 1;
    const sentIn = era;
    const answer = new Promise<Changes<T> | undefined>((resolve) => {
      const isReachable = (): boolean => !isSilent && sentIn === era;
      const finish = (): void => {
        if (!isReachable()) return;
        wakers.delete(checkForChanges);
        setTimeout(() => {
          if (isReachable()) resolve(read<T>(name, after));
        }, ROUND_TRIP_MS);
      };
      const checkForChanges = (): void => {
        if (read(name, after).changes.length > 0) finish();
      };
      const endCall = (): void => {
        wakers.delete(checkForChanges);
        resolve(undefined);
      };
      if (isReachable()) {
        wakers.add(checkForChanges);
        setTimeout(finish, waitMs);
        checkForChanges();
      }
      setTimeout(endCall, waitMs + CLIENT_SLACK_MS);
      signal?.addEventListener('abort', endCall);
    });
    return ResultAsync.fromSafePromise(answer).andThen((changes) =>
      changes
        ? okAsync(changes)
        : errAsync(fail('store-unavailable', 'no answer', { step: 'call' })),
    );
  };

  return {
    /** Number of calls so far, answered or not. */
    calls: () => calls,
    put: (name: string, value: unknown): void => {
      revision += 1;
      values.set(name, { value, revision });
      for (const wake of [...wakers]) wake();
    },
    silence: (): void => {
      isSilent = true;
      era += 1;
    },
    answer: (): void => {
      isSilent = false;
    },
    feed: <T>(name: string): Feed<T> => ({
      name,
      load: (signal?: AbortSignal) => call<T>(name, -1, 0, signal),
      poll: ({ revision: after }: StorePosition, waitMs: number, signal?: AbortSignal) =>
        call<T>(name, after, waitMs, signal),
    }),
  };
}
