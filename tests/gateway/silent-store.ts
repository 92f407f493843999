/** A store in the faked time of a test, whose calls are lost without an error while it is silent. */

import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import type { Changes, Feed } from '../../src/ports/gateway';
import type { StorePosition } from '../../src/core/store-era';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { position } from './support';

/** The way to the store and back. */
const WAY_MS = 5;
/** Without a word from the caller, the client of the store gives a call up this long after its wait. */
const CLIENT_SLACK_MS = 1_000;

/** A store that falls silent: calls that are out then, and those sent meanwhile, are never answered. */
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
      const isHeard = (): boolean => !isSilent && sentIn === era;
      const finish = (): void => {
        if (!isHeard()) return;
        wakers.delete(look);
        setTimeout(() => {
          if (isHeard()) resolve(read<T>(name, after));
        }, WAY_MS);
      };
      const look = (): void => {
        if (read(name, after).changes.length > 0) finish();
      };
      const giveUp = (): void => {
        wakers.delete(look);
        resolve(undefined);
      };
      if (isHeard()) {
        wakers.add(look);
        setTimeout(finish, waitMs);
        look();
      }
      setTimeout(giveUp, waitMs + CLIENT_SLACK_MS);
      signal?.addEventListener('abort', giveUp);
    });
    return ResultAsync.fromSafePromise(answer).andThen((changes) =>
      changes
        ? okAsync(changes)
        : errAsync(fail('store-unavailable', 'no answer', { step: 'call' })),
    );
  };

  return {
    /** Calls so far, answered or not. */
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
