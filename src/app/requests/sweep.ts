/**
 * Removes claims whose retention has passed. Each daemon scans one page at a time, from a cursor of
 * its own. Two daemons at the same page do no harm, since rows are deleted by version.
 */

import { timer } from 'rxjs';
import type { Subscription } from 'rxjs';

import type { OrganisationId } from '../../core/ids';
import { brandAs } from '../../core/ids';
import type { ClaimRow } from '../../core/ledger/rows';
import { CLAIM_PREFIX, claimRowKey } from '../../core/ledger/rows';
import type { Row } from '../../ports/platform';
import { readClaimRow } from './claim-rows';
import type { ClaimWriter } from './claim-writer';
import type { RequestContext } from './context';

/** The interval between two pages is jittered between 0.5 and 1.5 times its mean. */
const MIN_INTERVAL_FACTOR = 0.5;
const HEX_DIGITS = 16;

/** Background removal of expired claims. */
export interface Sweep {
  start(): void;
  stop(): void;
  /** Scans one page, removes its expired claims and returns the number of removed rows. */
  sweepPage(): Promise<number>;
}

interface ExpiredRow {
  readonly row: Row;
  readonly claim: ClaimRow;
}

/** A random start cursor: daemons are replaced too often to start at the first row each time. */
function randomCursor(ctx: RequestContext): string {
  const ids = Object.keys(ctx.config.current().organisations);
  const id = ids[Math.floor(ctx.random.next() * ids.length)] ?? '';
  const digits = Math.floor(ctx.random.next() * HEX_DIGITS).toString(HEX_DIGITS);
  return claimRowKey(brandAs<OrganisationId>(id), digits);
}

async function remove(
  ctx: RequestContext,
  writer: ClaimWriter,
  { row, claim }: ExpiredRow,
): Promise<boolean> {
  const result = await writer.write({ key: row.key, version: row.version });
  const isDeleted = result.kind === 'written';
  if (isDeleted && claim.state === 'finished' && claim.answer.body.kind === 'object') {
    await ctx.objects.remove(claim.answer.body.key);
  }
  return isDeleted;
}

/** Creates the sweep. Pages are scheduled after `start`. */
export function createSweep(ctx: RequestContext, writer: ClaimWriter): Sweep {
  let cursor: string | undefined;
  let subscription: Subscription | undefined;

  const expiredOf = (row: Row): readonly ExpiredRow[] => {
    const claim = readClaimRow(row);
    const isExpired = claim !== undefined && claim.expiresAt <= ctx.clock.epoch();
    return isExpired ? [{ row, claim }] : [];
  };

  const sweepPage = async (): Promise<number> => {
    if (writer.isOverloaded()) return 0;
    const page = await ctx.table.scan(CLAIM_PREFIX, cursor ?? randomCursor(ctx));
    if (page.isErr()) return 0;
    cursor = page.value.after ?? CLAIM_PREFIX;
    const expired = page.value.rows.flatMap(expiredOf);
    const removed = await Promise.all(expired.map((each) => remove(ctx, writer, each)));
    return removed.filter(Boolean).length;
  };

  const schedule = (): void => {
    const everyMs = ctx.settings.sweepIntervalMs * Math.max(1, ctx.daemonCount?.() ?? 1);
    const waitMs = everyMs * (MIN_INTERVAL_FACTOR + ctx.random.next());
    subscription = timer(waitMs).subscribe(() => void sweepPage().then(schedule));
  };

  return {
    start: schedule,
    stop: () => subscription?.unsubscribe(),
    sweepPage,
  };
}
