/**
 * Row of the refused requests in the platform's store. The leader writes it, and reads it when it takes the
 * lease: after the loss of all daemons, no other place knows which requests crash servers.
 */

import * as z from 'zod';

import { digestOfRefused, mergeRefusedUpdates } from '../../../core/gateway/refused-requests';
import type { RefusedUpdate } from '../../../core/gateway/refused-requests';
import { brandAs, later } from '../../../core/ids';
import type { Fingerprint } from '../../../core/ids';
import type { StoreEra } from '../../../core/store-era';
import type { EraTable } from '../../../ports/gateway';
import type { Json } from '../../../ports/platform';
import type { GatewayContext } from '../context';
import type { Leadership } from '../lease';
import type { Quarantine } from './quarantine';

export interface RefusedRow {
  tick(): void;
}

export interface RefusedRowDeps {
  readonly table: EraTable;
  readonly leadership: Pick<Leadership, 'heldFencing'>;
  readonly quarantine: Pick<Quarantine, 'digest' | 'refused' | 'applyRefused'>;
}

/** The row as last read or written in this term and era. */
interface StoredRow {
  readonly era: StoreEra;
  readonly version: number;
  readonly digest: number;
}

const KEY = 'refused-requests';
const RETRY_MS = 1_000;

/**
 * Requests with the wall-clock times until which they are refused and from which each may run once more, Unix
 * milliseconds; null if it may not.
 */
const rowSchema = z.object({
  requests: z.array(z.tuple([z.string(), z.number(), z.number().nullable()])),
});

export function createRefusedRow(
  ctx: GatewayContext,
  { table, leadership, quarantine }: RefusedRowDeps,
): RefusedRow {
  const { clock, logger } = ctx;
  let stored: StoredRow | undefined;
  let isBusy = false;
  let dueAt = clock.now();

  const logFailure = (action: string, code: string): void => {
    logger.warn('row of refused requests not accessible', { step: 'quarantine', action, code });
    stored = undefined;
    dueAt = later(clock.now(), RETRY_MS);
  };

  const read = async (): Promise<void> => {
    const result = await table.read(KEY);
    if (result.isErr()) {
      logFailure('read', result.error.code);
      return;
    }
    const { era, rows } = result.value;
    const row = rows.find(({ key }) => key === KEY);
    const requests = rowSchema.safeParse(row?.value).data?.requests ?? [];
    const now = clock.epoch();
    const updates = requests.map(([fingerprint, until, trialAt]): RefusedUpdate => {
      const trialInMs = trialAt === null ? null : trialAt - now;
      return [brandAs<Fingerprint>(fingerprint), Math.max(0, until - now), trialInMs];
    });
    if (updates.length > 0) quarantine.applyRefused(updates, 'store');
    const digest = digestOfRefused(mergeRefusedUpdates(new Map(), updates, clock.now()));
    stored = { era, version: row?.version ?? 0, digest };
  };

  const write = async ({ era, version }: StoredRow): Promise<void> => {
    const digest = quarantine.digest();
    const now = clock.epoch();
    const requests = quarantine.refused().map(([fingerprint, remainingMs, trialInMs]): Json => {
      const trialAt = trialInMs === null ? null : Math.round(now + trialInMs);
      return [fingerprint, Math.round(now + remainingMs), trialAt];
    });
    const result = await table.commit({
      conditions: [{ key: KEY, version }],
      writes: [{ key: KEY, value: { requests } }],
    });
    if (result.isErr()) {
      logFailure('write', result.error.code);
      return;
    }
    logger.info('refused requests stored', { step: 'quarantine', requests: requests.length });
    stored = { era, version: result.value.versions[KEY] ?? 0, digest };
  };

  const advance = async (): Promise<void> => {
    if (stored?.era !== ctx.store.era()) stored = undefined;
    if (!stored) await read();
    else if (stored.digest !== quarantine.digest()) await write(stored);
  };

  return {
    tick: () => {
      if (leadership.heldFencing() === undefined) {
        stored = undefined;
        return;
      }
      if (isBusy || clock.now() < dueAt) return;
      isBusy = true;
      void advance().finally(() => {
        isBusy = false;
      });
    },
  };
}
